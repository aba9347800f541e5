//! The workers of one zone are cut off for 70 s while they are idle; a job that only they can run is accepted meanwhile.

use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::record::Record;
use crate::system::{Queue, System};

/// "Minutes", in the users' letter; the shortest length that shows it and leaves time for the check.
const CUT: Duration = Duration::from_secs(70);
/// `finish_s` and the 3 s of the rule.
const FINISH: Duration = Duration::from_secs(14 + 3);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN])?;
    let far: Vec<_> = (1..=2).map(|n| system.start_worker(n, "b", "zone-b", true)).collect();
    let _near: Vec<_> = (3..=6).map(|n| system.start_worker(n, "a", "zone-a", true)).collect();
    sleep(Duration::from_secs(2));
    let body = "{\"Spec\":\"ms=1000 cpu=1000 mem=1024 gpu=1\",\"Steps\":[{\"Count\":2,\"Cpu\":1000,\"MemMb\":1024,\
                \"Gpu\":1,\"EstimateMs\":1000,\"RequiredLabel\":\"b\"}]}";
    let before = "a1b2c3d4e5f636f8";
    if !system.submit(&Queue::PLAIN, before, body) {
        return Err("the job before the cut was not accepted".to_owned());
    }
    sleep(Duration::from_secs(4));
    if system.state(&Queue::PLAIN, before) != "completed" {
        return Err("the job before the cut was not completed".to_owned());
    }
    if has_trouble {
        far.iter().for_each(|worker| worker.set_cut(true));
        sleep(Duration::from_secs(2));
    }
    let after = "a1b2c3d4e5f636f9";
    if !system.submit(&Queue::PLAIN, after, body) {
        return Err("the second job was not accepted".to_owned());
    }
    if has_trouble {
        sleep(CUT - Duration::from_secs(2));
        far.iter().for_each(|worker| worker.set_cut(false));
    }
    let acked: Vec<u64> = far.iter().map(|worker| worker.heartbeats_acked()).collect();
    sleep(Duration::from_secs(4));
    for (worker, before) in far.iter().zip(acked) {
        let count = worker.heartbeats_acked() - before;
        record.line(&format!("{}: {count} check-ins acknowledged in the last 4 s", worker.name));
        if count == 0 {
            return Err("a worker's check-ins are not acknowledged".to_owned());
        }
    }
    sleep(FINISH);
    let state = system.state(&Queue::PLAIN, after);
    let starts = record.runs().iter().filter(|run| run.task.starts_with(after)).count();
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    let mut breaks = Vec::new();
    if starts == 0 && state != "completed" {
        breaks.push(format!(
            "job {after} was accepted, both workers that can run it are idle and check in, and nothing of it has run {} s \
             later; its state is {state}",
            FINISH.as_secs()
        ));
    }
    Ok(breaks)
}
