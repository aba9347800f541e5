//! A worker is cut off for 5.5 s while more than 500 of its tasks end `done`.

use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::system::{Queue, System};
use crate::{Outcome, wait_for};

/// Jobs, and tasks of each; all of them run on the one worker that has the label.
const JOBS: usize = 14;
const TASKS: usize = 50;
/// `node_cut` of workers in the site file: 5.5 s, a share of 0.17.
const CUT: Duration = Duration::from_millis(5_500);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN])?;
    let special = system.start_worker(1, "b", "zone-a", true);
    let _others: Vec<_> = (2..=6).map(|n| system.start_worker(n, "a", "zone-a", true)).collect();
    sleep(Duration::from_secs(2));
    let body = format!(
        "{{\"Spec\":\"ms=7000 cpu=40 mem=64\",\"Steps\":[{{\"Count\":{TASKS},\"Cpu\":40,\"MemMb\":64,\
         \"EstimateMs\":7000,\"RequiredLabel\":\"b\"}}]}}"
    );
    let ids: Vec<String> = (0..JOBS).map(|n| format!("a1b2c3d4e5f6{:04x}", 0x3600 + n)).collect();
    let begun = record.now();
    for id in &ids {
        if !system.submit(&Queue::PLAIN, id, &body) {
            return Err(format!("job {id} was not accepted"));
        }
    }
    if !wait_for(Duration::from_secs(5), || special.running() == JOBS * TASKS) {
        return Err(format!("only {} tasks run", special.running()));
    }
    record.line(&format!("all {} tasks run", JOBS * TASKS));
    // The first task ends 7 s after its start, all others within some seconds of it.
    let first_end = begun + Duration::from_millis(6_900);
    sleep(first_end.saturating_sub(record.now()));
    if has_trouble {
        special.set_cut(true);
        sleep(CUT);
        special.set_cut(false);
    }
    let all_done = wait_for(Duration::from_secs(40), || {
        ids.iter().all(|id| system.state(&Queue::PLAIN, id) == "completed") || {
            sleep(Duration::from_millis(500));
            false
        }
    });
    // Starts again of what has ended come to an end too.
    sleep(Duration::from_secs(2));
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    record.line(&format!("all jobs completed: {all_done}"));
    Ok(record.twice())
}
