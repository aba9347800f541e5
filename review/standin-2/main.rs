//! Runs one case of the review against the system's own programs: `standin-2 CASE`, from the root of the repository.
//!
//! `TROUBLE=0` in the environment leaves the disruption out. The record goes to the file that `RECORD` names. The exit code is
//! 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cut;
mod flaky;
mod foreign;
mod http;
mod json;
mod outage;
mod overdue;
mod platform;
mod record;
mod runs;
mod stale;
mod system;
mod upkeep;
mod worker;

use std::env;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// No case runs for longer.
const CASE_LIMIT: Duration = Duration::from_secs(117);

fn main() -> ExitCode {
    system::end_after(CASE_LIMIT);
    let case = env::args().nth(1).unwrap_or_default();
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let result = match case.as_str() {
        "flaky" => flaky::run(has_trouble, &record),
        "overdue" => overdue::run(has_trouble, &record),
        "foreign" => foreign::run(has_trouble, &record),
        "outage" => outage::run(has_trouble, &record),
        "stale" => stale::run(has_trouble, &record),
        "upkeep" => upkeep::run(has_trouble, &record),
        _ => Err("no such case".to_owned()),
    };
    let (code, lines) = match result {
        Ok(broken) if broken.is_empty() => (0, vec!["the rule held".to_owned()]),
        Ok(broken) => (1, broken),
        Err(cause) => (2, vec![format!("the case could not run: {cause}")]),
    };
    for line in lines {
        record.line(format!("end   {line}"));
        println!("{line}");
    }
    ExitCode::from(code)
}
