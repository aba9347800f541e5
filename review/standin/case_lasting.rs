//! Two jobs that last share the only worker that has their label. Their tasks fail five times in all, each time long after the
//! last time, and are not restarted in time.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::system::{Queue, System};
use crate::{Outcome, wait_for};

/// A task that lasts has to run again within 6 s; the rule allows 3 s more.
const BACK: Duration = Duration::from_secs(6 + 3);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN])?;
    let special = system.start_worker(1, "b", "zone-a", true);
    let _others: Vec<_> = (2..=6).map(|n| system.start_worker(n, "a", "zone-a", true)).collect();
    sleep(Duration::from_secs(2));
    let jobs = ["a1b2c3d4e5f60001", "a1b2c3d4e5f60002"];
    let body = "{\"Spec\":\"ms=0 cpu=4000 mem=8192 gpu=1\",\"Steps\":[{\"Count\":1,\"Cpu\":4000,\"MemMb\":8192,\
                \"Gpu\":1,\"RequiredLabel\":\"b\",\"LongRunning\":true}]}";
    for job in jobs {
        if !system.submit(&Queue::PLAIN, job, body) {
            return Err("a job was not accepted".to_owned());
        }
    }
    if !wait_for(Duration::from_secs(5), || jobs.iter().all(|job| special.runs(job))) {
        return Err("the jobs do not run".to_owned());
    }
    let mut breaks = Vec::new();
    for job in [0, 1, 0, 1, 0].map(|at| jobs[at]) {
        // Calm for longer than any rule asks.
        sleep(Duration::from_secs(5));
        if !has_trouble {
            continue;
        }
        let starts = || record.runs().iter().filter(|run| run.task.starts_with(job)).count();
        let (before, at) = (starts(), Instant::now());
        special.end_lasting(job, "failed");
        if wait_for(Duration::from_secs(30), || starts() > before) {
            record.line(&format!("{job} runs again after {:.1} s", at.elapsed().as_secs_f64()));
        }
        if at.elapsed() > BACK {
            let state = system.state(&Queue::PLAIN, job);
            breaks.push(format!(
                "the task of {job} was not running for {:.1} s after its last run, though its worker was up, checked in and \
                 had room for it many times over; its state is {state}",
                at.elapsed().as_secs_f64()
            ));
        }
    }
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    Ok(breaks)
}
