//! Plays the cases of the review. `standin CASE RECORD` plays one and exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run; with `TROUBLE=0` in the environment it plays the case without its disruption.

mod advice;
mod http;
mod json;
mod platform;
mod record;
mod system;
mod watchdog;
mod worker;

mod case_advice;
mod case_cut_long;
mod case_ends_cut;
mod case_flap;
mod case_lasting;
mod case_pending;
mod case_reclaim;
mod case_rerouted;
mod case_upkeep;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// The result of a case: what broke the rule, or nothing.
type Outcome = Result<Vec<String>, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, file] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::new(Path::new(file)) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    watchdog::start();
    let outcome = match case.as_str() {
        "ends-cut" => case_ends_cut::play(&record, has_trouble),
        "cut-long" => case_cut_long::play(&record, has_trouble),
        "lasting" => case_lasting::play(&record, has_trouble),
        "upkeep" => case_upkeep::play(&record, has_trouble),
        "reclaim" => case_reclaim::play(&record, has_trouble),
        "rerouted" => case_rerouted::play(&record, has_trouble),
        "pending" => case_pending::play(&record, has_trouble),
        "advice" => case_advice::play(&record, has_trouble),
        "flap" => case_flap::play(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    match outcome {
        Ok(breaks) if breaks.is_empty() => {
            record.line("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            for found in &breaks {
                record.line(&format!("BROKEN {found}"));
            }
            println!("the rule was broken {} time(s), first: {}", breaks.len(), breaks[0]);
            ExitCode::from(1)
        }
        Err(cause) => {
            record.line(&format!("the case could not run: {cause}"));
            println!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

/// Waits until a condition holds; returns whether it did within the limit.
fn wait_for(limit: std::time::Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = std::time::Instant::now() + limit;
    while !holds() {
        if std::time::Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    true
}

/// LOST: waits for `finish_s`, then watches for 3 s whether nothing of a job runs while more than half of the workers that may
/// run it are idle. Each of them has room for all tasks of the job at least twice.
fn is_starved(record: &Record, job: &str, workers: &[worker::Worker]) -> bool {
    std::thread::sleep(std::time::Duration::from_secs(14));
    let until = std::time::Instant::now() + std::time::Duration::from_secs(3);
    let mut starved = true;
    while std::time::Instant::now() < until {
        let idle = workers.iter().filter(|worker| worker.running() == 0).count();
        starved &= idle * 2 > workers.len() && !workers.iter().any(|worker| worker.runs(job));
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    record.line(&format!("for 3 s nothing of {job} ran and most workers were idle: {starved}"));
    starved
}
