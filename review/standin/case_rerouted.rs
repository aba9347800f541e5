//! A queue is moved to another service by a new config, and the worker of the earlier service is taken away. A job that was
//! accepted before waits for the earlier service forever.

use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::system::{Queue, System, config};
use crate::{Outcome, wait_for};

/// How long the worker drains: time enough for what runs there.
const DRAIN: Duration = Duration::from_secs(11);
/// `finish_s` and the 3 s of the rule.
const FINISH: Duration = Duration::from_secs(14 + 3);
/// One of them is taken away: `scale_in` of the site file has a share of 0.065.
const WORKERS: u8 = 16;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN])?;
    let old = system.start_worker(1, "a", "lulea-a", true);
    let start_new = |number| system.start_worker_of("pool-2", number, "a", "lulea-a", true);
    let new: Vec<_> = (2..=WORKERS).map(start_new).collect();
    sleep(Duration::from_secs(2));
    let running = "5c0e7a21d94b0001";
    let body = "{\"Spec\":\"ms=8500 cpu=13000 mem=8192 gpu=8\",\"Steps\":[{\"Count\":1,\"Cpu\":13000,\"MemMb\":8192,\
                \"Gpu\":8,\"EstimateMs\":8500}]}";
    if !system.submit(&Queue::PLAIN, running, body) {
        return Err("the first job was not accepted".to_owned());
    }
    if !wait_for(Duration::from_secs(5), || old.running() == 1) {
        return Err("the first job does not run".to_owned());
    }
    let waiting = "5c0e7a21d94b0002";
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
        let later = "5c0e7a21d94b0003";
        if !system.submit(&Queue::PLAIN, later, body) {
            return Err("the third job was not accepted".to_owned());
        }
        if !wait_for(Duration::from_secs(5), || new.iter().any(|worker| worker.runs(later))) {
            return Err("the third job does not run".to_owned());
        }
    }
    sleep(FINISH);
    let state = system.state(&Queue::PLAIN, waiting);
    let starts = record.runs().iter().filter(|run| run.task.starts_with(waiting)).count();
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    let mut breaks = Vec::new();
    if starts == 0 && state != "completed" {
        breaks.push(format!(
            "job {waiting} was accepted and nothing of it has run; the workers of its queue's service have been idle, and its \
             state is {state}"
        ));
    }
    Ok(breaks)
}
