//! Limits the rate of log lines: each event has a budget of lines per second.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, KV, Key, Level, OwnedKVList, Record, Serializer, b, record_static};

/// Most lines of one event that are written per second. In the largest burst seen, a leader of 350
/// upstreams wrote about half as many lines of its most frequent event.
pub(crate) const LINES_PER_SECOND: u32 = 1_000;
/// The time window for which a budget holds.
const WINDOW: Duration = Duration::from_secs(1);
/// The name of the budget that all lines without an event share.
const NO_EVENT: &str = "-";

/// Lines of one event in the current window.
#[derive(Debug, Default)]
struct EventCounts {
    written: u32,
    dropped: u64,
}

#[derive(Debug)]
struct Window {
    started_at: Instant,
    events: BTreeMap<String, EventCounts>,
}

/// A drain that passes a line on while its event has budget left and drops it otherwise. The first
/// line after a window is preceded by warnings with the number of lines dropped in that window.
#[derive(Debug)]
pub struct LogBudget<D> {
    inner: D,
    lines_max: u32,
    window: Mutex<Window>,
    dropped: DroppedLines,
}

/// Counts the lines that were dropped since the start; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines {
    lines: Arc<std::sync::atomic::AtomicU64>,
}

impl DroppedLines {
    /// The number of dropped lines.
    pub fn lines(&self) -> u64 {
        self.lines.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn add(&self) {
        self.lines.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }
}

impl<D: Drain> LogBudget<D> {
    /// Limits each event to `lines_max` lines per second. The first window starts at `now`.
    pub fn new(inner: D, lines_max: u32, now: Instant) -> Self {
        let window = Mutex::new(Window { started_at: now, events: BTreeMap::new() });
        Self { inner, lines_max, window, dropped: DroppedLines::default() }
    }

    /// The counter of dropped lines.
    pub fn dropped_lines(&self) -> DroppedLines {
        self.dropped.clone()
    }

    /// Counts a line of an event at `now`. Returns whether it may be written, and the events with
    /// dropped lines of a window that has ended.
    fn count(&self, now: Instant, event: String) -> (bool, Vec<(String, u64)>) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = Vec::new();
        if now.duration_since(window.started_at) >= WINDOW {
            window.started_at = now;
            let events = std::mem::take(&mut window.events).into_iter();
            let limited = events.filter(|(_, counts)| counts.dropped > 0);
            dropped = limited.map(|(event, counts)| (event, counts.dropped)).collect();
        }
        let counts = window.events.entry(event).or_default();
        let is_within_budget = counts.written < self.lines_max;
        if is_within_budget {
            counts.written += 1;
        } else {
            counts.dropped += 1;
            self.dropped.add();
        }
        (is_within_budget, dropped)
    }

    /// Same as [`Drain::log`], at a given instant.
    ///
    /// # Errors
    ///
    /// The errors of the inner drain.
    pub fn log_at(
        &self,
        now: Instant,
        record: &Record<'_>,
        values: &OwnedKVList,
    ) -> Result<(), D::Err> {
        let (is_within_budget, dropped) = self.count(now, event_of(record));
        for (event, lines) in dropped {
            let rs = record_static!(Level::Warning, "");
            let args = format_args!("log: lines dropped");
            let about = b!("event" => "log.left_out", "of" => event, "lines" => lines);
            self.inner.log(&Record::new(&rs, &args, about), values)?;
        }
        if is_within_budget {
            self.inner.log(record, values)?;
        }
        Ok(())
    }
}

impl<D: Drain> Drain for LogBudget<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        self.log_at(Instant::now(), record, values)
    }
}

/// The value of a record's key `event`, or [`NO_EVENT`].
fn event_of(record: &Record<'_>) -> String {
    let mut finder = EventFinder { event: None };
    // A record whose values cannot be serialised counts as one without an event.
    let found = record.kv().serialize(record, &mut finder);
    found.ok().and(finder.event).unwrap_or_else(|| NO_EVENT.to_owned())
}

/// Finds the value of the key `event`.
struct EventFinder {
    event: Option<String>,
}

impl Serializer for EventFinder {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        if key == "event" {
            self.event = Some(value.to_string());
        }
        Ok(())
    }

    fn emit_str(&mut self, key: Key, value: &str) -> slog::Result {
        if key == "event" {
            self.event = Some(value.to_owned());
        }
        Ok(())
    }
}
