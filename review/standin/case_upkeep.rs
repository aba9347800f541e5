//! A machine has its upkeep in a wave, while the platform's answers are slow. The answer to the order comes after the machine's
//! new worker has joined and has begun tasks.

use std::thread::sleep;
use std::time::Duration;

use crate::platform::ANSWER;
use crate::record::Record;
use crate::system::{Queue, System};
use crate::{Outcome, wait_for};

/// `cloud_slow` in the list of kinds: answers take 50 times as long.
const SLOWER: u32 = 50;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut system = System::start(record.clone(), &[Queue::PLAIN])?;
    let workers: Vec<_> = (1..=3).map(|n| system.start_worker(n, "a", "zone-a", false)).collect();
    sleep(Duration::from_secs(2));
    if has_trouble {
        system.platform.set_answer(ANSWER * SLOWER);
    }
    // More tasks than the workers have room for: each worker has 4 at a time.
    let jobs: Vec<String> = (0..8).map(|n| format!("a1b2c3d4e5f6{n:04x}")).collect();
    for (at, job) in jobs.iter().enumerate() {
        // Tasks of different lengths, so that room becomes free all the time.
        let ms = 4_000 + 400 * at;
        let body = format!(
            "{{\"Spec\":\"ms={ms} cpu=4000 mem=8192 gpu=2\",\"Steps\":[{{\"Count\":8,\"Cpu\":4000,\"MemMb\":8192,\
             \"Gpu\":2,\"EstimateMs\":{ms}}}]}}"
        );
        if !system.submit(&Queue::PLAIN, job, &body) {
            return Err("a job was not accepted".to_owned());
        }
    }
    if !wait_for(Duration::from_secs(5), || workers.iter().all(|worker| worker.running() == 4)) {
        return Err("the workers are not full".to_owned());
    }
    let wave = "{\"Wave\":1,\"Machines\":[\"m-i-1\"],\"DeadlineS\":20,\"Cap\":1}";
    if system.operator("POST", "/wave-start", wave).is_none_or(|answer| answer.status != 200) {
        return Err("the wave was not accepted".to_owned());
    }
    record.line("the wave is acknowledged");
    if !wait_for(Duration::from_secs(25), || system.platform.has_begun("m-i-1", 1)) {
        return Err("the upkeep has not begun".to_owned());
    }
    let is_completed = |job: &String| system.state(&Queue::PLAIN, job) == "completed";
    let all_done = wait_for(Duration::from_secs(60), || {
        jobs.iter().all(is_completed) || {
            sleep(Duration::from_millis(500));
            false
        }
    });
    record.line(&format!("all jobs completed: {all_done}"));
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("ended by themselves: {}", ended.join(" ")));
    }
    Ok(record.twice())
}
