//! Jobs are accepted while the only worker that can run them is cut off. Nothing of them has begun, and the queue's count of
//! jobs that wait is 0.

use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::json::Json;
use crate::record::Record;
use crate::system::{Queue, System};

const JOBS: usize = 4;
/// `node_cut` of workers in the site file: 5.5 s, a share of 0.17.
const CUT: Duration = Duration::from_millis(5_500);
/// `visible_ms` and 2 s, after which jobs that have not begun have to be counted.
const VISIBLE: Duration = Duration::from_secs(5);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN])?;
    let special = system.start_worker(1, "b", "zone-a", true);
    let _others: Vec<_> = (2..=6).map(|n| system.start_worker(n, "a", "zone-a", true)).collect();
    sleep(Duration::from_secs(2));
    let body = "{\"Spec\":\"ms=2500 cpu=3700 mem=4096 gpu=1\",\"Steps\":[{\"Count\":1,\"Cpu\":3700,\"MemMb\":4096,\
                \"Gpu\":1,\"EstimateMs\":2500,\"RequiredLabel\":\"b\"}]}";
    let begun = record.now();
    if has_trouble {
        special.set_cut(true);
    }
    for n in 0..JOBS {
        if !system.submit(&Queue::PLAIN, &format!("a1b2c3d4e5f6{n:04x}"), body) {
            return Err("a job was not accepted".to_owned());
        }
    }
    let accepted = record.now();
    sleep((accepted + VISIBLE + Duration::from_millis(50)).saturating_sub(record.now()));
    let answer = system.client(0, "GET", &Queue::PLAIN, "", "");
    let is_cut_still = record.now() < begun + CUT;
    let begun_jobs = record.runs().len();
    sleep((begun + CUT).saturating_sub(record.now()));
    if has_trouble {
        special.set_cut(false);
    }
    if !is_cut_still {
        return Err("the jobs took too long to hand in".to_owned());
    }
    let answer = answer.filter(|a| a.status == 200).ok_or("the count was not answered")?;
    let pending = Json::parse(&answer.body).map_or(0, |body| body.number("Pending"));
    let waiting = (JOBS - begun_jobs.min(JOBS)) as u64;
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    let mut breaks = Vec::new();
    if pending * 2 < waiting {
        breaks.push(format!(
            "{waiting} jobs were accepted more than 5 s before and nothing of them has begun; `Pending` is {pending}"
        ));
    }
    Ok(breaks)
}
