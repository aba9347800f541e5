//! A structured log line of one of the product's processes.

use std::io::BufRead;

use serde_json::{Map, Value};

/// Fields that are not part of a line's details.
const OMITTED_FIELDS: [&str; 6] = ["msg", "level", "ts", "host", "event", "job"];

/// A log line with an event.
#[derive(Debug)]
pub(crate) struct LogLine {
    /// The time of day, in seconds since midnight.
    pub(crate) at: f64,
    pub(crate) host: String,
    pub(crate) event: String,
    fields: Map<String, Value>,
}

impl LogLine {
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
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// The value of a field, if it is a whole number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Whether the line is about the job, one of its steps or tasks, or an HTTP path that ends with
    /// its id.
    pub(crate) fn is_about(&self, job: &str) -> bool {
        let is_of_job = |task: &str| task.split('.').next() == Some(job);
        self.text("job") == Some(job)
            || self.text("task").is_some_and(is_of_job)
            || self.text("step").is_some_and(is_of_job)
            || self.text("path").is_some_and(|path| path.ends_with(job))
    }

    /// The fields of the line as `name=value`, without those that are omitted.
    pub(crate) fn details(&self) -> String {
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

/// Parses all lines of the input; skips those that are no log lines with an event.
pub(crate) fn read_lines(input: impl BufRead) -> eyre::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in input.split(b'\n') {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line?)));
    }
    Ok(lines)
}
