//! Case: a job whose data lies in a busy rack, in a service that is mostly idle.

use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::runs::Runs;
use crate::system::{Options, System, config, wait_until};
use crate::worker::{Machine, Worker};

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// For this long a job may have nothing running although there is room.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// How long the case goes on watching, for the record.
const WATCH_ON: Duration = Duration::from_secs(40);
const WORKERS: u8 = 12;
/// The workers of each rack.
const RACK: u8 = 3;
/// The work of a task of each job: an hour.
const WORK_MS: u64 = 3_600_000;
const JOB: &str = "00000000000000f1";

/// Runs the case. Returns what broke the rule.
pub fn run(has_trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let mut system = System::new(Options::default(), record).map_err(|e| e.to_string())?;
    let runs = Runs::new(record.clone());
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let machine = Machine {
            name: format!("m-{number}"),
            zone: "north".to_owned(),
            kind: "a".to_owned(),
            rack: format!("r-{}", number / RACK),
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
    let job = |tasks: u8, cpu: u32| {
        format!(
            "{{\"Spec\":\"{WORK_MS} {cpu} r-0\",\"Steps\":[{{\"Count\":{tasks},\"Cpu\":{cpu},\"MemMb\":256,\
             \"EstimateMs\":{WORK_MS},\"DataRack\":\"r-0\"}}]}}"
        )
    };
    if has_trouble {
        let answer = system.client(0, "POST", "/queue/00000000000000f0", &job(RACK, 8_000))?;
        if answer.0 != 200 {
            return Err(format!("the job that keeps the rack busy was not accepted: {answer:?}"));
        }
        wait_until("the rack is busy", Duration::from_secs(10), || {
            workers[..usize::from(RACK)].iter().all(|worker| worker.running_count() == 1)
        })?;
    }
    let path = format!("/queue/{JOB}");
    let answer = system.client(0, "POST", &path, &job(1, 1_000))?;
    if answer.0 != 200 {
        return Err(format!("the job was not accepted: {answer:?}"));
    }
    let has_started = || runs.all().keys().any(|task| task.starts_with(JOB));
    thread::sleep(FINISH);
    system.client(0, "GET", &path, "")?;
    thread::sleep(IDLE_MAX);
    let state = system.client(1, "GET", &path, "")?;
    if has_started() {
        return Ok(Vec::new());
    }
    thread::sleep(WATCH_ON);
    record.line(format!(
        "seen  {WATCH_ON:?} later the job has {}started",
        if has_started() { "" } else { "not " }
    ));
    Ok(vec![format!(
        "LOST: {FINISH:?} after the last hand-in and {IDLE_MAX:?} on, nothing of the job runs, while nine of twelve workers are idle; its state is {}",
        state.1
    )])
}
