//! Case: scheduled jobs whose first time lies a week back come at once.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::runs::Runs;
use crate::system::{Options, System, config, wait_until};
use crate::worker::{Machine, Worker};

const WORKERS: u8 = 8;
/// How many jobs come, each once a minute for a week: as many times as the system accepts.
const JOBS: usize = 80;
const TIMES: u64 = 10_000;
const PERIOD_MS: u64 = 60_000;
/// For how long they are handed in; the later ones may find no leader any more.
const HAND_IN_FOR: Duration = Duration::from_secs(10);
/// Of this many times the due time lies back without the disruption.
const FEW_TIMES: u64 = 3;
const WORK_MS: u64 = 1_000;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// For how long each question is asked again.
const ASK_FOR: Duration = Duration::from_secs(20);

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
            rack: format!("r-{}", number / 4),
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
    let back = if has_trouble { TIMES } else { FEW_TIMES };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let first_ms = now - back * PERIOD_MS;
    let job = format!(
        "{{\"Spec\":\"{WORK_MS} 1000\",\"Steps\":[{{\"Count\":1,\"Cpu\":1000,\"MemMb\":256,\"EstimateMs\":{WORK_MS}}}],\
         \"Times\":{TIMES},\"FirstMs\":{first_ms},\"PeriodMs\":{PERIOD_MS}}}"
    );
    let mut accepted = Vec::new();
    let began = Instant::now();
    for number in (0..JOBS).take_while(|_| began.elapsed() < HAND_IN_FOR) {
        let path = format!("/queue/{:016x}", 0xd000 + number);
        if system.client(number % 2, "POST", &path, &job).is_ok_and(|response| response.0 == 200) {
            accepted.push(path);
        }
    }
    record.line(format!("seen  {} of {JOBS} jobs are accepted", accepted.len()));
    if accepted.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    thread::sleep(FINISH);
    let mut broken = Vec::new();
    for path in
        [accepted.first(), accepted.get(accepted.len() / 2), accepted.last()].into_iter().flatten()
    {
        let until = Instant::now() + ASK_FOR;
        let mut is_answered = false;
        let mut tries = 0;
        while !is_answered && Instant::now() < until {
            tries += 1;
            is_answered =
                system.client(tries % 2, "GET", path, "").is_ok_and(|response| response.0 == 200);
            thread::sleep(Duration::from_millis(200));
        }
        if !is_answered {
            broken.push(format!(
                "LOST: {FINISH:?} after the last hand-in, {path} was asked for {tries} times in {ASK_FOR:?} without an answer"
            ));
        }
    }
    let is_read = system.operator("GET", "/config/get", "").is_ok_and(|response| response.0 == 200);
    record.line(format!("seen  the config is {}read back", if is_read { "" } else { "not " }));
    Ok(broken)
}
