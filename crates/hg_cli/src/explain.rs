//! `explain`: reconstructs the history of one job from the logs of all processes, or sums a whole day up.

use std::collections::BTreeSet;
use std::io::Write as _;

use clap::ArgMatches;

use crate::day_report::DayReport;
use crate::exit::{BadInput, Exit};
use crate::log_line::{LogLine, read_lines};

/// Events of an upstream that show why its runs ended.
const UPSTREAM_EVENTS: [&str; 4] =
    ["order.failed", "upstream.registered", "upstream.gone", "upstream.crashed"];
/// Events that show changes of leadership, which explain why nothing was decided for a while.
const LEADERSHIP_EVENTS: [&str; 2] = ["lead.begin", "lead.end"];

/// How the jobs without an account, which share one fair share, appear in events about shares.
const COMMON_ACCOUNT: &str = "(none)";

/// Runs `explain`.
pub(crate) fn run(matches: &ArgMatches) -> eyre::Result<Exit> {
    if matches.get_flag("day") {
        let report = DayReport::new(&read_lines(std::io::stdin().lock())?);
        // The reader may have closed the pipe, as `head` does.
        drop(write!(std::io::stdout(), "{report}"));
        return Ok(Exit::Success);
    }
    let job: &String = matches.get_one("id").ok_or_else(|| eyre::eyre!("clap requires an id"))?;
    let lines = read_lines(std::io::stdin().lock())?;
    let history = history(lines, job);
    if history.is_empty() {
        let message = format!("no line of these logs is about job {job}");
        return Err(BadInput { message }.into());
    }
    let begin = history.first().map_or(0.0, |line| line.at);
    for line in &history {
        let elapsed = line.at - begin;
        println!("{elapsed:+9.3} s  {:<20} {:<20} {}", line.host, line.event, line.details());
    }
    println!("\n{}", summary(&history));
    Ok(Exit::Success)
}

/// The lines that show what happened to a job, ordered by time, without repeated lines about the
/// job. Adds the changes of leadership between the job's first and last line, the times at which its
/// account was beyond its fair share, and events of the upstreams on which its runs were lost.
fn history(lines: Vec<LogLine>, job: &str) -> Vec<LogLine> {
    let of_job = || lines.iter().filter(|line| line.is_about(job));
    let Some(begin) = of_job().map(|line| line.at).min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let end = of_job().map(|line| line.at).max_by(f64::total_cmp).unwrap_or(begin);
    let lost = of_job().filter(|line| line.event == "run.lost");
    let lost: BTreeSet<String> =
        lost.filter_map(|l| l.text("upstream")).map(str::to_owned).collect();
    let account = of_job().find_map(account_of_accepted).map(str::to_owned);
    let mut seen = BTreeSet::new();
    let mut history: Vec<LogLine> = Vec::new();
    for line in lines {
        let is_in_period = (begin..=end).contains(&line.at);
        let is_of_lost_upstream = UPSTREAM_EVENTS.contains(&line.event.as_str())
            && line.text("upstream").is_some_and(|upstream| lost.contains(upstream));
        let is_leadership_change = LEADERSHIP_EVENTS.contains(&line.event.as_str());
        let is_share = line.event == "account.share" && line.text("account") == account.as_deref();
        // A new leader logs events again that an earlier leader has logged.
        let mut is_first_occurrence = || seen.insert((line.event.clone(), line.details()));
        let is_relevant = if line.is_about(job) {
            is_first_occurrence()
        } else {
            is_in_period && (is_of_lost_upstream || is_leadership_change || is_share)
        };
        if is_relevant {
            history.push(line);
        }
    }
    history.sort_by(|a, b| a.at.total_cmp(&b.at));
    history
}

/// The account that a line says the job was accepted for.
fn account_of_accepted(line: &LogLine) -> Option<&str> {
    (line.event == "workflow.accepted").then(|| line.text("account").unwrap_or(COMMON_ACCOUNT))
}

/// A sentence about the share of the job's account if it was beyond twice its fair share; else nothing.
fn share_summary(history: &[LogLine]) -> String {
    let share = |line: &LogLine| line.text("share")?.parse::<f64>().ok();
    let shares = history.iter().filter(|line| line.event == "account.share").filter_map(share);
    let largest = shares.max_by(f64::total_cmp);
    largest.map_or_else(String::new, |share| {
        format!(" Its account had up to {share:.2} times its fair share: work of other accounts went first.")
    })
}

/// One sentence about the job's outcome and its cause.
fn summary(history: &[LogLine]) -> String {
    let last = |event: &str| history.iter().rev().find(|line| line.event == event);
    // A caller may return after a rejection by forecast, and be accepted.
    let accepted_at = last("workflow.accepted").map(|line| line.at);
    if let Some(line) = last("workflow.rejected")
        && accepted_at.is_none_or(|at| at < line.at)
    {
        return format!("Rejected: {}.", line.text("reason").unwrap_or("no reason was logged"));
    }
    let state = last("workflow.ended").and_then(|line| line.text("state"));
    if state == Some("failed")
        && let Some(line) = last("task.given_up")
    {
        let (task, upstreams) = (line.text("task"), line.text("upstreams"));
        let (task, upstreams) = (task.unwrap_or("a task"), upstreams.unwrap_or("its upstreams"));
        return format!("Failed: {task} crashed {upstreams}.");
    }
    if state == Some("failed") {
        let failures = history.iter().filter(|line| line.text("kind") == Some("Failed"));
        let at: Vec<&str> = failures.filter_map(|line| line.text("upstream")).collect();
        return format!("Failed: its runs failed on {}.", at.join(", "));
    }
    if last("workflow.accepted").is_none()
        && let Some(line) = last("caller.unanswered")
    {
        return format!("Not accepted: {}.", line.text("cause").unwrap_or("no leader answered"));
    }
    let (waited, line) = longest_wait(history);
    let state = state.unwrap_or("not ended in these logs");
    let cause = line.map(|line| format!("{} {}", line.event, line.details()));
    let cause = cause.unwrap_or_else(|| "nothing else".to_owned());
    let shares = share_summary(history);
    let contention = contention_avoided(history);
    format!(
        "State: {state}. Longest time without progress: {waited:.3} s, ended by: {cause}.{shares}{contention}"
    )
}

/// One sentence about starts for which contention with other tasks was avoided, if there were any.
fn contention_avoided(history: &[LogLine]) -> String {
    let avoided = history.iter().filter(|line| line.event == "contention.avoided");
    let avoided: Vec<&LogLine> = avoided.collect();
    let Some(last) = avoided.last() else { return String::new() };
    let text = |name: &str| last.text(name).unwrap_or("unknown");
    format!(
        " Kept apart from tasks that slow each other down in {} starts, last from {}: {} slows {} by {}.",
        avoided.len(),
        text("instead_of"),
        text("aggressor"),
        text("victim"),
        text("factor"),
    )
}

/// The longest time between two events that show progress, in seconds, and the event that ended it.
fn longest_wait(history: &[LogLine]) -> (f64, Option<&LogLine>) {
    let progress = history.iter().filter(|line| {
        ["workflow.accepted", "run.placed", "run.ended", "run.lost", "workflow.ended"]
            .contains(&line.event.as_str())
    });
    let progress: Vec<&LogLine> = progress.collect();
    let gaps = progress.windows(2).map(|pair| (pair[1].at - pair[0].at, Some(pair[1])));
    gaps.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, None))
}
