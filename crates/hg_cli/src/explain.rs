//! `explain`: reconstructs the history of one job from the logs of all processes.

use std::collections::BTreeSet;
use std::io::BufRead;

use clap::ArgMatches;
use serde_json::{Map, Value};

use crate::exit::{BadInput, Exit};

/// Fields that are not part of a line's details.
const OMITTED_FIELDS: [&str; 6] = ["msg", "level", "ts", "host", "event", "job"];
/// Events of an upstream that show why its runs ended.
const UPSTREAM_EVENTS: [&str; 3] = ["order.failed", "upstream.registered", "upstream.gone"];
/// Events that show changes of leadership, which explain why nothing was decided for a while.
const LEADERSHIP_EVENTS: [&str; 2] = ["lead.begin", "lead.end"];

/// A log line with an event.
#[derive(Debug)]
struct Line {
    /// The time of day, in seconds since midnight.
    at: f64,
    host: String,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line, ignoring any text before the JSON object. `None` if the line is incomplete or
    /// has no timestamp or event.
    fn parse(text: &str) -> Option<Self> {
        let json = text.get(text.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let text = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let at = seconds_of(&text("ts")?)?;
        let (host, event) = (text("host").unwrap_or_default(), text("event")?);
        Some(Self { at, host, event, fields })
    }

    /// The value of a field, if it is a string.
    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Whether the line is about the job, one of its steps or tasks, or an HTTP path that ends with
    /// its id.
    fn is_about(&self, job: &str) -> bool {
        let is_of_job = |task: &str| task.split('.').next() == Some(job);
        self.text("job") == Some(job)
            || self.text("task").is_some_and(is_of_job)
            || self.text("step").is_some_and(is_of_job)
            || self.text("path").is_some_and(|path| path.ends_with(job))
    }

    /// The fields of the line as `name=value`, without those that are omitted.
    fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
        let shown = shown.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        shown.collect::<Vec<_>>().join(" ")
    }
}

/// The time of day in a timestamp such as `2026-05-21T14:43:06.024488066Z`, in seconds.
fn seconds_of(timestamp: &str) -> Option<f64> {
    let (_, time) = timestamp.split_once('T')?;
    let mut parts = time.trim_end_matches('Z').splitn(3, ':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    let (hours, minutes, seconds) = (next()?, next()?, next()?);
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}

/// Runs `explain`.
pub(crate) fn run(matches: &ArgMatches) -> eyre::Result<Exit> {
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

/// Parses all lines of the input; skips those that are no log lines with an event.
fn read_lines(input: impl BufRead) -> eyre::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for line in input.split(b'\n') {
        lines.extend(Line::parse(&String::from_utf8_lossy(&line?)));
    }
    Ok(lines)
}

/// The lines that show what happened to a job, ordered by time, without repeated lines about the
/// job. Adds the changes of leadership between the job's first and last line, and events of the
/// upstreams on which its runs were lost.
fn history(lines: Vec<Line>, job: &str) -> Vec<Line> {
    let of_job = || lines.iter().filter(|line| line.is_about(job));
    let Some(begin) = of_job().map(|line| line.at).min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let end = of_job().map(|line| line.at).max_by(f64::total_cmp).unwrap_or(begin);
    let lost = of_job().filter(|line| line.event == "run.lost");
    let lost: BTreeSet<String> =
        lost.filter_map(|l| l.text("upstream")).map(str::to_owned).collect();
    let mut seen = BTreeSet::new();
    let mut history: Vec<Line> = Vec::new();
    for line in lines {
        let is_in_period = (begin..=end).contains(&line.at);
        let is_of_lost_upstream = UPSTREAM_EVENTS.contains(&line.event.as_str())
            && line.text("upstream").is_some_and(|upstream| lost.contains(upstream));
        let is_leadership_change = LEADERSHIP_EVENTS.contains(&line.event.as_str());
        // A new leader logs events again that an earlier leader has logged.
        let mut is_first_occurrence = || seen.insert((line.event.clone(), line.details()));
        let is_relevant = if line.is_about(job) {
            is_first_occurrence()
        } else {
            is_in_period && (is_of_lost_upstream || is_leadership_change)
        };
        if is_relevant {
            history.push(line);
        }
    }
    history.sort_by(|a, b| a.at.total_cmp(&b.at));
    history
}

/// One sentence about the job's outcome and its cause.
fn summary(history: &[Line]) -> String {
    let last = |event: &str| history.iter().rev().find(|line| line.event == event);
    if let Some(line) = last("workflow.rejected") {
        return format!("Rejected: {}.", line.text("reason").unwrap_or("no reason was logged"));
    }
    let state = last("workflow.ended").and_then(|line| line.text("state"));
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
    format!("State: {state}. Longest time without progress: {waited:.3} s, ended by: {cause}.")
}

/// The longest time between two events that show progress, in seconds, and the event that ended it.
fn longest_wait(history: &[Line]) -> (f64, Option<&Line>) {
    let progress = history.iter().filter(|line| {
        ["workflow.accepted", "run.placed", "run.ended", "run.lost", "workflow.ended"]
            .contains(&line.event.as_str())
    });
    let progress: Vec<&Line> = progress.collect();
    let gaps = progress.windows(2).map(|pair| (pair[1].at - pair[0].at, Some(pair[1])));
    gaps.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, None))
}
