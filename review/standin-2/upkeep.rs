//! Case: a maintenance wave while the platform is slow.

use std::thread;
use std::time::Duration;

use crate::platform::Platform;
use crate::record::Record;
use crate::runs::Runs;
use crate::system::{Options, System, config, wait_until};
use crate::worker::{Machine, Worker};

/// How long the platform is slow, and how long each answer takes meanwhile.
const SLOW_FOR: Duration = Duration::from_secs(5);
const SLOW_ANSWER: Duration = Duration::from_millis(2_500);
const WORKERS: u8 = 6;
/// The work of one task of the job.
const WORK_MS: u64 = 9_000;

/// Runs the case. Returns what broke the rule.
pub fn run(has_trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let mut system = System::new(Options::default(), record).map_err(|e| e.to_string())?;
    let runs = Runs::new(record.clone());
    let platform = Platform::start(system.platform_address(), record).map_err(|e| e.to_string())?;
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let machine = Machine {
            name: format!("m-{number}"),
            zone: "north".to_owned(),
            kind: "a".to_owned(),
            rack: format!("r-{number}"),
            address: system.worker_address(number),
            cpu: 8_000,
        };
        let worker =
            Worker::start(machine, "pool", &format!("i-{number}"), system.controls(), &runs);
        let worker = worker.map_err(|e| e.to_string())?;
        platform.add(&worker);
        workers.push(worker);
    }
    system.start(&config(1))?;
    wait_until("all workers are known", Duration::from_secs(10), || {
        workers.iter().all(Worker::is_known)
    })?;
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        platform.slow_down(SLOW_FOR, SLOW_ANSWER);
    }
    let wave = "{\"Wave\":1,\"Machines\":[\"m-0\"],\"DeadlineS\":20,\"Cap\":1}";
    let answer = system.operator("POST", "/wave-start", wave)?;
    if answer.0 != 200 {
        return Err(format!("the wave was not accepted: {answer:?}"));
    }
    wait_until("the machine goes down for its upkeep", Duration::from_secs(10), || {
        workers[0].id().is_none()
    })?;
    wait_until("its new worker checks in", Duration::from_secs(10), || workers[0].is_known())?;
    let new_life = workers[0].id().unwrap_or_default();
    let job = format!(
        "{{\"Spec\":\"{WORK_MS} 1000 r-0\",\"Steps\":[{{\"Count\":2,\"Cpu\":1000,\"MemMb\":256,\
         \"EstimateMs\":{WORK_MS},\"DataRack\":\"r-0\"}}]}}"
    );
    let first = "/queue/00000000000000a1";
    let answer = system.client(0, "POST", first, &job)?;
    if answer.0 != 200 {
        return Err(format!("the job was not accepted: {answer:?}"));
    }
    thread::sleep(Duration::from_secs(20));
    system.client(0, "GET", first, "")?;
    system.operator("GET", "/wave-get/1", "")?;
    // Only for the record: whether the new worker is used again.
    let starts_before = runs.on(&new_life).len();
    system.client(1, "POST", "/queue/00000000000000a2", &job)?;
    thread::sleep(Duration::from_secs(5));
    let starts_later = runs.on(&new_life).len() - starts_before;
    record.line(format!(
        "seen  a later job with data in the same rack: {starts_later} starts on {new_life}"
    ));
    Ok(runs.twice().into_iter().map(|pair| format!("TWICE: {pair}")).collect())
}
