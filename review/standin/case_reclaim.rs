//! Jobs that last, of a tenant without a guarantee, use the idle room. A tenant's urgent job within its guarantee is accepted
//! and does not start.

use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::system::{Queue, System};
use crate::{Outcome, wait_for};

const URGENT: Queue = Queue { prefix: "/quotes/", priority: 0, ..Queue::PLAIN };
const PATIENT: Queue = Queue { prefix: "/sweeps/", priority: 2, tenant: 1, ..Queue::PLAIN };
/// The bound `ReclaimMs`.
const RECLAIM: Duration = Duration::from_millis(2_900);
/// `finish_s` and 3 s.
const FINISH: Duration = Duration::from_secs(14 + 3);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[URGENT, PATIENT])?;
    let workers: Vec<_> = (1..=6).map(|n| system.start_worker(n, "a", "zone-a", true)).collect();
    sleep(Duration::from_secs(2));
    // The size of jobs of the licence sweep: 16 tasks on 1 GPU each. Three of them use all 48 GPUs.
    let (ms, lasting) = if has_trouble { (0, ",\"LongRunning\":true") } else { (60_000, "") };
    let body = format!(
        "{{\"Spec\":\"ms={ms} cpu=2800 mem=4096 gpu=1\",\"Steps\":[{{\"Count\":16,\"Cpu\":2800,\"MemMb\":4096,\
         \"Gpu\":1,\"EstimateMs\":60000{lasting}}}]}}"
    );
    for job in ["a1b2c3d4e5f60001", "a1b2c3d4e5f60002", "a1b2c3d4e5f60003"] {
        if !system.submit(&PATIENT, job, &body) {
            return Err("a patient job was not accepted".to_owned());
        }
    }
    if !wait_for(Duration::from_secs(5), || workers.iter().all(|worker| worker.running() == 8)) {
        return Err("the workers are not full".to_owned());
    }
    sleep(Duration::from_secs(4));
    let urgent = "a1b2c3d4e5f60004";
    let body = "{\"Spec\":\"ms=2500 cpu=3700 mem=4096 gpu=2\",\"Steps\":[{\"Count\":3,\"Cpu\":3700,\"MemMb\":4096,\
                \"Gpu\":2,\"EstimateMs\":2500}]}";
    if !system.submit(&URGENT, urgent, body) {
        return Err("the urgent job was not accepted".to_owned());
    }
    let confirmed = record.now();
    sleep(FINISH);
    let state = system.state(&URGENT, urgent);
    let runs = record.runs();
    let in_time = |at: Duration| at <= confirmed + RECLAIM;
    let starts = runs.iter().filter(|run| run.task.starts_with(urgent));
    let begun = starts.clone().filter(|run| run.run == 1 && in_time(run.started)).count();
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    let mut breaks = Vec::new();
    if begun < 3 {
        breaks.push(format!(
            "job {urgent} of priority 0 needs 6 of the 8 GPUs that its tenant is guaranteed; {begun} of its 3 tasks had begun \
             2.9 s after its confirmation, {} after {} s; its state is {state}",
            starts.count(),
            FINISH.as_secs()
        ));
    }
    Ok(breaks)
}
