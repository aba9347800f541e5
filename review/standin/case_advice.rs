//! A large urgent job that its queue's policy allows on one worker only waits for that worker. A smaller job of another queue
//! with advice, which every worker may run, is accepted meanwhile.

use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::record::Record;
use crate::system::{Queue, System};

const URGENT: Queue = Queue {
    prefix: "/pufi791/",
    priority: 0,
    attempts: 4,
    has_advice: true,
    service: "pool",
    tenant: 0,
};
const OTHER: Queue = Queue {
    prefix: "/lohu930/",
    priority: 1,
    attempts: 3,
    has_advice: true,
    service: "pool",
    tenant: 0,
};
/// `finish_s` and the 3 s of the rule.
const FINISH: Duration = Duration::from_secs(14 + 3);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[URGENT, OTHER])?;
    let advice = system.advice.clone().ok_or("there is no advice")?;
    let workers: Vec<_> = (1..=6).map(|n| system.start_worker(n, "a", "lulea-a", true)).collect();
    sleep(Duration::from_secs(2));
    // The size of a job of monthly statements: 5 tasks of 8.5 s, each on 8 GPUs.
    let large = "5c0e7a21d94b0001";
    advice.restrict(large, &["i-1"]);
    if has_trouble {
        let body = "{\"Spec\":\"ms=8500 cpu=13000 mem=8192 gpu=8\",\"Steps\":[{\"Count\":5,\"Cpu\":13000,\
                    \"MemMb\":8192,\"Gpu\":8,\"EstimateMs\":8500}]}";
        if !system.submit(&URGENT, large, body) {
            return Err("the large job was not accepted".to_owned());
        }
        sleep(Duration::from_secs(2));
        if workers[0].running() != 1 {
            return Err("the large job does not run".to_owned());
        }
    }
    let small = "5c0e7a21d94b0002";
    let body = "{\"Spec\":\"ms=2500 cpu=3700 mem=4096 gpu=1\",\"Steps\":[{\"Count\":3,\"Cpu\":3700,\
                \"MemMb\":4096,\"Gpu\":1,\"EstimateMs\":2500}]}";
    if !system.submit(&OTHER, small, body) {
        return Err("the small job was not accepted".to_owned());
    }
    sleep(FINISH);
    let state = system.state(&OTHER, small);
    let starts = record.runs().iter().filter(|run| run.task.starts_with(small)).count();
    let idle = workers.iter().filter(|worker| worker.running() == 0).count();
    let calls = (advice.calls(large), advice.calls(small));
    record.line(&format!(
        "calls for advice: {} about the large job, {} about the small one",
        calls.0, calls.1
    ));
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    let mut breaks = Vec::new();
    if starts == 0 && state != "completed" {
        breaks.push(format!(
            "job {small} was accepted {} s ago, {idle} of 6 workers are idle and may run it, and nothing of it has run; its \
             state is {state}; {} calls for advice were made about {large}, {} about it",
            FINISH.as_secs(), calls.0, calls.1
        ));
    }
    Ok(breaks)
}
