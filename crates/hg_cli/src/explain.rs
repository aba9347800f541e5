//! `explain`: what happened to one job, from the logs of all processes.

use std::collections::BTreeSet;
use std::io::BufRead;

use clap::ArgMatches;
use serde_json::{Map, Value};

use crate::exit::{BadInput, Exit};

/// Fields that say nothing of a single decision.
const SKIPPED: [&str; 6] = ["msg", "level", "ts", "host", "event", "job"];
/// Events about upstreams that tell why runs there ended.
const UPSTREAM_EVENTS: [&str; 3] = ["order.failed", "upstream.registered", "upstream.gone"];
/// Events that show who led, which tells why nothing was decided for a while.
const LEAD_EVENTS: [&str; 2] = ["lead.begin", "lead.end"];

/// One line of a log.
#[derive(Debug)]
struct Line {
    /// Seconds since midnight.
    at: f64,
    host: String,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; whatever stands before the JSON object is passed over.
    fn parse(text: &str) -> Option<Self> {
        let json = text.get(text.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let word = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let at = seconds_of(&word("ts")?)?;
        let (host, event) = (word("host").unwrap_or_default(), word("event")?);
        Some(Self { at, host, event, fields })
    }

    fn word(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Whether it is about the job, one of its tasks or its path.
    fn is_about(&self, job: &str) -> bool {
        let of_task = |task: &str| task.split('.').next() == Some(job);
        self.word("job") == Some(job)
            || self.word("task").is_some_and(of_task)
            || self.word("step").is_some_and(of_task)
            || self.word("path").is_some_and(|path| path.ends_with(job))
    }

    fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| !SKIPPED.contains(&name.as_str()));
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
    let lines = read(std::io::stdin().lock())?;
    let story = story(lines, job);
    if story.is_empty() {
        let message = format!("no line of these logs is about job {job}");
        return Err(BadInput { message }.into());
    }
    let begin = story.first().map_or(0.0, |line| line.at);
    for line in &story {
        let after = line.at - begin;
        println!("{after:+9.3} s  {:<20} {:<20} {}", line.host, line.event, line.details());
    }
    println!("\n{}", verdict(&story));
    Ok(Exit::Good)
}

fn read(input: impl BufRead) -> eyre::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for line in input.split(b'\n') {
        lines.extend(Line::parse(&String::from_utf8_lossy(&line?)));
    }
    Ok(lines)
}

/// The lines that tell what happened to a job, in order, each decision once.
fn story(lines: Vec<Line>, job: &str) -> Vec<Line> {
    let own = || lines.iter().filter(|line| line.is_about(job));
    let Some(begin) = own().map(|line| line.at).min_by(f64::total_cmp) else { return Vec::new() };
    let end = own().map(|line| line.at).max_by(f64::total_cmp).unwrap_or(begin);
    let lost = own().filter(|line| line.event == "run.lost");
    let lost: BTreeSet<String> =
        lost.filter_map(|l| l.word("upstream")).map(str::to_owned).collect();
    let mut seen = BTreeSet::new();
    let mut story: Vec<Line> = Vec::new();
    for line in lines {
        let in_time = (begin..=end).contains(&line.at);
        let of_lost = UPSTREAM_EVENTS.contains(&line.event.as_str())
            && line.word("upstream").is_some_and(|upstream| lost.contains(upstream));
        let of_lead = LEAD_EVENTS.contains(&line.event.as_str());
        // A new leader tells of entries again that an earlier one has told of.
        let mut is_new_own = || seen.insert((line.event.clone(), line.details()));
        let belongs =
            if line.is_about(job) { is_new_own() } else { in_time && (of_lost || of_lead) };
        if belongs {
            story.push(line);
        }
    }
    story.sort_by(|a, b| a.at.total_cmp(&b.at));
    story
}

/// The line that decided what became of the job, in words.
fn verdict(story: &[Line]) -> String {
    let last = |event: &str| story.iter().rev().find(|line| line.event == event);
    if let Some(line) = last("workflow.rejected") {
        return format!("Rejected: {}.", line.word("reason").unwrap_or("no reason was logged"));
    }
    let state = last("workflow.ended").and_then(|line| line.word("state"));
    if state == Some("failed") {
        let failures = story.iter().filter(|line| line.word("kind") == Some("Failed"));
        let at: Vec<&str> = failures.filter_map(|line| line.word("upstream")).collect();
        return format!("Failed: its runs failed on {}.", at.join(", "));
    }
    if last("workflow.accepted").is_none()
        && let Some(line) = last("caller.unanswered")
    {
        return format!("Not accepted: {}.", line.word("cause").unwrap_or("no leader answered"));
    }
    let (waited, line) = longest_wait(story);
    let state = state.unwrap_or("not ended in these logs");
    let cause = line.map(|line| format!("{} {}", line.event, line.details()));
    let cause = cause.unwrap_or_else(|| "nothing else".to_owned());
    format!("State: {state}. Longest time without progress: {waited:.3} s, ended by: {cause}.")
}

/// The longest time between two steps forward, and the step that ended it.
fn longest_wait(story: &[Line]) -> (f64, Option<&Line>) {
    let moves = story.iter().filter(|line| {
        ["workflow.accepted", "run.placed", "run.ended", "run.lost", "workflow.ended"]
            .contains(&line.event.as_str())
    });
    let moves: Vec<&Line> = moves.collect();
    let gaps = moves.windows(2).map(|pair| (pair[1].at - pair[0].at, Some(pair[1])));
    gaps.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, None))
}
