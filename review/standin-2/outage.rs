//! Case: two workers of another region are cut off for a minute, and come back.

use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::runs::Runs;
use crate::system::{Options, System, config, wait_until};
use crate::worker::{Machine, Worker};

/// How long the regions lose each other.
const CUT_FOR: Duration = Duration::from_secs(63);
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// For this long a job may have nothing running although there is room.
const IDLE_MAX: Duration = Duration::from_secs(3);
const WORKERS: u8 = 8;
/// The workers from this one on are in the other region.
const FIRST_FAR: u8 = 6;
const WORK_MS: u64 = 8_000;

/// Runs the case. Returns what broke the rule.
pub fn run(has_trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let zones = "north = \"region-a\"\nfar = \"region-b\"\n".to_owned();
    let options = Options { zones, ..Options::default() };
    let mut system = System::new(options, record).map_err(|e| e.to_string())?;
    let runs = Runs::new(record.clone());
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let is_far = number >= FIRST_FAR;
        let machine = Machine {
            name: format!("m-{number}"),
            zone: if is_far { "far" } else { "north" }.to_owned(),
            kind: if is_far { "b" } else { "a" }.to_owned(),
            rack: format!("r-{number}"),
            address: system.worker_address(number),
            cpu: 8_000,
        };
        let worker =
            Worker::start(machine, "pool", &format!("i-{number}"), system.controls(), &runs);
        workers.push(worker.map_err(|e| e.to_string())?);
    }
    system.start(&config(1))?;
    wait_until("all workers are known", Duration::from_secs(10), || {
        workers.iter().all(Worker::is_known)
    })?;
    thread::sleep(Duration::from_secs(2));
    let job = format!(
        "{{\"Spec\":\"{WORK_MS} 1000\",\"Steps\":[{{\"Count\":2,\"Cpu\":1000,\"MemMb\":256,\
         \"EstimateMs\":{WORK_MS},\"RequiredLabel\":\"b\"}}]}}"
    );
    let path = "/queue/00000000000000b1";
    let answer = system.client(0, "POST", path, &job)?;
    if answer.0 != 200 {
        return Err(format!("the job was not accepted: {answer:?}"));
    }
    thread::sleep(Duration::from_secs(2));
    let far = &workers[usize::from(FIRST_FAR)..];
    if has_trouble {
        far.iter().for_each(|worker| worker.set_cut(true));
        thread::sleep(CUT_FOR);
        far.iter().for_each(|worker| worker.set_cut(false));
    }
    let answered_before: u64 = far.iter().map(Worker::acknowledged).sum();
    thread::sleep(FINISH);
    let first = system.client(0, "GET", path, "")?;
    let is_running = || far.iter().any(|worker| worker.running_count() > 0);
    let was_running = is_running();
    let starts_before = runs.all().values().flatten().count();
    thread::sleep(IDLE_MAX);
    let second = system.client(1, "GET", path, "")?;
    let answered = far.iter().map(Worker::acknowledged).sum::<u64>() - answered_before;
    record.line(format!(
        "seen  {answered} check-ins of the far workers were acknowledged since the cut ended"
    ));
    let has_started = runs.all().values().flatten().count() > starts_before;
    let is_over = first.1.contains("completed") || second.1.contains("completed");
    if is_over || was_running || has_started {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "LOST: {FINISH:?} after the cut and {IDLE_MAX:?} on, the accepted job has nothing running, while all workers are up, \
         idle and answer; its state is {} and {}",
        first.1, second.1
    )])
}
