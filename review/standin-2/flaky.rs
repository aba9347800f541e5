//! Case: the workers of one rack crash again and again while all others are busy.

use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::runs::Runs;
use crate::system::{Options, System, config, wait_until};
use crate::worker::{Machine, Worker};

/// How long the case watches the job.
const WATCH_FOR: Duration = Duration::from_secs(95);
/// The time from one crash to the next, and how long the workers are down.
const PERIOD: Duration = Duration::from_secs(8);
const DOWN_FOR: Duration = Duration::from_secs(4);
const WORKERS: u8 = 19;
/// The workers from this one on are in the rack that crashes.
const FIRST_FLAKY: u8 = 16;
/// The work of the tasks that keep the other workers busy, and of the client's task.
const BUSY_MS: u64 = 200_000;
const WORK_MS: u64 = 15_000;

/// Runs the case. Returns what broke the rule.
pub fn run(has_trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let mut system = System::new(Options::default(), record).map_err(|e| e.to_string())?;
    let runs = Runs::new(record.clone());
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let is_flaky = number >= FIRST_FLAKY;
        let machine = Machine {
            name: format!("m-{number}"),
            zone: "north".to_owned(),
            kind: if is_flaky { "b" } else { "a" }.to_owned(),
            rack: if is_flaky { "r-4".to_owned() } else { format!("r-{}", number / 4) },
            address: system.worker_address(number),
            cpu: 4_000,
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
    let busy = format!(
        "{{\"Spec\":\"{BUSY_MS} 4000\",\"Steps\":[{{\"Count\":{FIRST_FLAKY},\"Cpu\":4000,\"MemMb\":256,\
         \"EstimateMs\":{BUSY_MS},\"RequiredLabel\":\"a\"}}]}}"
    );
    let answer = system.client(0, "POST", "/queue/00000000000000c0", &busy)?;
    if answer.0 != 200 {
        return Err(format!("the job that keeps the others busy was not accepted: {answer:?}"));
    }
    wait_until("the others are busy", Duration::from_secs(10), || {
        workers[..usize::from(FIRST_FLAKY)].iter().all(|worker| worker.running_count() == 1)
    })?;
    let job = format!(
        "{{\"Spec\":\"{WORK_MS} 2000\",\"Steps\":[{{\"Count\":1,\"Cpu\":2000,\"MemMb\":256,\"EstimateMs\":{WORK_MS}}}]}}"
    );
    let path = "/queue/00000000000000c1";
    let answer = system.client(0, "POST", path, &job)?;
    if answer.0 != 200 {
        return Err(format!("the job was not accepted: {answer:?}"));
    }
    let began = Instant::now();
    let mut next_crash = began + Duration::from_secs(3);
    let mut lives = 0;
    while began.elapsed() < WATCH_FOR {
        let state = system.client(1, "GET", path, "")?;
        if state.1.contains("completed") {
            break;
        }
        if state.1.contains("failed") || state.1.contains("cancelled") {
            let all = runs.all();
            let of_job = all.iter().filter(|(task, _)| task.starts_with("00000000000000c1"));
            let ends: Vec<String> = of_job
                .flat_map(|(_, runs)| runs)
                .map(|run| run.ended.as_ref().map_or("open".to_owned(), |(_, how)| how.clone()))
                .collect();
            if ends.iter().any(|how| how == "failed") {
                return Err("the stand-ins report no end as failed".to_owned());
            }
            return Ok(vec![format!(
                "LOST: the job is shown as {} although none of its {} runs ended failed: {}",
                state.1,
                ends.len(),
                ends.join(", ")
            )]);
        }
        if has_trouble && Instant::now() >= next_crash {
            next_crash += PERIOD;
            lives += 1;
            for worker in &workers[usize::from(FIRST_FLAKY)..] {
                worker.take_down();
                let (worker, id) = (worker.clone(), format!("i-{}-{lives}", worker.machine.name));
                thread::spawn(move || {
                    thread::sleep(DOWN_FOR);
                    worker.bring_up(&id);
                });
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    Ok(Vec::new())
}
