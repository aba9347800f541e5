//! One of ten workers goes down and up by turns for 6.5 s. A task that only this worker can run does not fail once, and its
//! job is shown as failed.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::system::{Queue, System};

/// `srv_flap` in the site files: a share of 0.1, a period of 1.4 s, for 6.5 s; here for less.
const PERIOD: Duration = Duration::from_millis(1_400);
const FLAPS_FOR: Duration = Duration::from_millis(4_200);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN])?;
    let special = system.start_worker(1, "b", "zone-a", false);
    let _others: Vec<_> = (2..=10).map(|n| system.start_worker(n, "a", "zone-a", false)).collect();
    sleep(Duration::from_secs(2));
    let id = "a1b2c3d4e5f636f8";
    let body = "{\"Spec\":\"ms=4000 cpu=4000 mem=8192 gpu=2\",\"Steps\":[{\"Count\":1,\"Cpu\":4000,\"MemMb\":8192,\
                \"Gpu\":2,\"EstimateMs\":4000,\"RequiredLabel\":\"b\"}]}";
    if !system.submit(&Queue::PLAIN, id, body) {
        return Err("the job was not accepted".to_owned());
    }
    sleep(Duration::from_secs(1));
    if special.running() != 1 {
        return Err("the task does not run".to_owned());
    }
    if has_trouble {
        let until = Instant::now() + FLAPS_FOR;
        while Instant::now() < until {
            special.crash();
            sleep(PERIOD / 2);
            special.come_up();
            sleep((PERIOD / 2).min(until.saturating_duration_since(Instant::now())));
        }
        record.line("the worker stays up from now on");
    }
    let deadline = Instant::now() + Duration::from_secs(60);
    let state = loop {
        let state = system.state(&Queue::PLAIN, id);
        if ["completed", "failed", "cancelled"].contains(&state.as_str())
            || Instant::now() > deadline
        {
            break state;
        }
        sleep(Duration::from_millis(500));
    };
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    let runs = record.runs();
    let failed =
        runs.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "failed")).count();
    let mut breaks = Vec::new();
    if state == "failed" {
        breaks.push(format!(
            "job {id} is shown as failed; of its {} runs {failed} ended as failed, and 3 attempts are allowed",
            runs.len()
        ));
    }
    Ok(breaks)
}
