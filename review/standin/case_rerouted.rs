//! A queue is moved to another service by a new config, and the worker of the earlier service is taken away. A job that was
//! accepted before waits for the earlier service forever.

use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::system::{Queue, System, config};
use crate::{Outcome, is_starved, wait_for};

/// How long the worker drains: time enough for what runs there.
const DRAIN: Duration = Duration::from_secs(11);
/// One of them is taken away: `scale_in` of the site file has a share of 0.065.
const WORKERS: u8 = 16;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN])?;
    let old = system.start_worker(1, "a", "zone-a", true);
    let start_new = |number| system.start_worker_of("pool-2", number, "a", "zone-a", true);
    let new: Vec<_> = (2..=WORKERS).map(start_new).collect();
    sleep(Duration::from_secs(2));
    let running = "a1b2c3d4e5f60001";
    let body = "{\"Spec\":\"ms=8500 cpu=13000 mem=8192 gpu=8\",\"Steps\":[{\"Count\":1,\"Cpu\":13000,\"MemMb\":8192,\
                \"Gpu\":8,\"EstimateMs\":8500}]}";
    if !system.submit(&Queue::PLAIN, running, body) {
        return Err("the first job was not accepted".to_owned());
    }
    if !wait_for(Duration::from_secs(5), || old.running() == 1) {
        return Err("the first job does not run".to_owned());
    }
    let waiting = "a1b2c3d4e5f60002";
    if !system.submit(&Queue::PLAIN, waiting, body) {
        return Err("the second job was not accepted".to_owned());
    }
    if has_trouble {
        let moved = Queue { service: "pool-2", ..Queue::PLAIN };
        let answer = system.operator("POST", "/config/replace", &config(8, &[moved]));
        if answer.is_none_or(|answer| answer.status != 200) {
            return Err("the second config was not accepted".to_owned());
        }
        record.line("the config that moves the queue to the other service is acknowledged");
        sleep(Duration::from_secs(2));
        old.drain(DRAIN);
        sleep(DRAIN + Duration::from_secs(2));
        if system.state(&Queue::PLAIN, running) != "completed" {
            return Err("the first job was not completed".to_owned());
        }
        let later = "a1b2c3d4e5f60003";
        if !system.submit(&Queue::PLAIN, later, body) {
            return Err("the third job was not accepted".to_owned());
        }
        if !wait_for(Duration::from_secs(5), || new.iter().any(|worker| worker.runs(later))) {
            return Err("the third job does not run".to_owned());
        }
    }
    let starved = is_starved(record, waiting, &new);
    let state = system.state(&Queue::PLAIN, waiting);
    let starts = record.runs().iter().filter(|run| run.task.starts_with(waiting)).count();
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    let mut breaks = Vec::new();
    if starved && starts == 0 {
        breaks.push(format!(
            "job {waiting} was accepted and nothing of it has run; the workers of its queue's service were idle for 3 s at the \
             end, and its state is {state}"
        ));
    }
    Ok(breaks)
}
