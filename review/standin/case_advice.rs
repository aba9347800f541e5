//! An urgent job that its queue's policy allows on one worker only waits for that worker, which is full. A smaller job of
//! another queue with advice, which every worker may run, is accepted meanwhile and waits as well.

use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::system::{Queue, System};
use crate::{Outcome, is_starved};

const URGENT: Queue =
    Queue { prefix: "/quotes/", priority: 0, has_advice: true, tenant: 1, ..Queue::PLAIN };
const OTHER: Queue = Queue { prefix: "/sweeps/", has_advice: true, ..Queue::PLAIN };
pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN, URGENT, OTHER])?;
    let advice = system.advice.clone().ok_or("there is no advice")?;
    let kind = |number| if number == 1 { "b" } else { "a" };
    let start = |number| system.start_worker(number, kind(number), "zone-a", true);
    let workers: Vec<_> = (1..=6).map(start).collect();
    sleep(Duration::from_secs(2));
    // A job that lasts fills the worker with the label.
    let lasting = "a1b2c3d4e5f60001";
    let body = "{\"Spec\":\"ms=0 cpu=13000 mem=8192 gpu=8\",\"Steps\":[{\"Count\":1,\"Cpu\":13000,\"MemMb\":8192,\
                \"Gpu\":8,\"RequiredLabel\":\"b\",\"LongRunning\":true}]}";
    if !system.submit(&Queue::PLAIN, lasting, body) {
        return Err("the job that lasts was not accepted".to_owned());
    }
    sleep(Duration::from_secs(1));
    if !workers[0].runs(lasting) {
        return Err("the job that lasts does not run".to_owned());
    }
    // The size of a live quote.
    let body = "{\"Spec\":\"ms=2500 cpu=3700 mem=4096 gpu=1 advice=1\",\"Steps\":[{\"Count\":3,\"Cpu\":3700,\
                \"MemMb\":4096,\"Gpu\":1,\"EstimateMs\":2500}]}";
    let urgent = "a1b2c3d4e5f60002";
    advice.restrict(urgent, &["i-1"]);
    if has_trouble {
        if !system.submit(&URGENT, urgent, body) {
            return Err("the urgent job was not accepted".to_owned());
        }
        sleep(Duration::from_secs(2));
    }
    let small = "a1b2c3d4e5f60003";
    if !system.submit(&OTHER, small, body) {
        return Err("the other job was not accepted".to_owned());
    }
    let starved = is_starved(record, small, &workers);
    let state = system.state(&OTHER, small);
    let starts = record.runs().iter().filter(|run| run.task.starts_with(small)).count();
    let idle = workers.iter().filter(|worker| worker.running() == 0).count();
    let calls = (advice.calls(urgent), advice.calls(small));
    record.line(&format!(
        "calls for advice: {} about the urgent job, {} about the other",
        calls.0, calls.1
    ));
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    let mut breaks = Vec::new();
    if starved && starts == 0 {
        breaks.push(format!(
            "job {small} was accepted {} s ago, {idle} of 6 workers are idle and may run it, and nothing of it has run; its \
             state is {state}; {} calls for advice were made about {urgent}, {} about it",
            17, calls.0, calls.1
        ));
    }
    Ok(breaks)
}
