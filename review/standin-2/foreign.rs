//! Case: a check-in of another writer names a service that is not in the config.

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::runs::Runs;
use crate::system::{CONTROLS, Options, System, config, wait_until};
use crate::worker::{Machine, Worker};

const WORKERS: u8 = 6;
/// The work of one task of the job.
const WORK_MS: u64 = 9_000;

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
    thread::sleep(Duration::from_secs(4));
    let job = format!(
        "{{\"Spec\":\"{WORK_MS} 1000 r-0\",\"Steps\":[{{\"Count\":3,\"Cpu\":1000,\"MemMb\":256,\
         \"EstimateMs\":{WORK_MS},\"DataRack\":\"r-0\"}}]}}"
    );
    let path = "/queue/00000000000000e1";
    let answer = system.client(0, "POST", path, &job)?;
    if answer.0 != 200 {
        return Err(format!("the job was not accepted: {answer:?}"));
    }
    wait_until("the tasks run", Duration::from_secs(5), || workers[0].running_count() == 3)?;
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let body = format!(
            "{{\"Service\":\"backup-agent\",\"Addr\":\"{}\",\"Zone\":\"north\",\"Version\":\"v9\",\"Slots\":1,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":1000,\"MemMb\":512,\"Gpu\":0}},\
             \"Labels\":[\"backup\",\"r-0\"],\"ClockMs\":4000,\"Seq\":1,\"Machine\":\"m-0\",\"born\":{born}}}",
            workers[0].machine.address
        );
        let control = system.control_address(CONTROLS[0]);
        let path = "/instances/backup-1/heartbeat";
        let answer = http::call(control, "POST", path, &[], &body, Duration::from_secs(1));
        record.line(format!("world another writer sends {path} {body}: {answer:?}"));
    }
    thread::sleep(Duration::from_secs(15));
    system.client(0, "GET", path, "")?;
    Ok(runs.twice().into_iter().map(|pair| format!("TWICE: {pair}")).collect())
}
