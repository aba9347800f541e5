//! Keeps the volume of logs bounded: each event has a budget of lines for each second.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, KV, Key, Level, OwnedKVList, Record, Serializer, b, record_static};

/// Lines of one event that are written in a second: a leader of 350 upstreams writes about half as many of
/// its most frequent event at the worst burst seen.
pub(crate) const LINES_PER_SECOND: u32 = 1_000;
/// The span of a budget.
const SPAN: Duration = Duration::from_secs(1);
/// Lines without an event share one budget under this name.
const NAMELESS: &str = "-";

/// Lines of one event in the present span.
#[derive(Debug, Default)]
struct Spent {
    lines: u32,
    left_out: u64,
}

#[derive(Debug)]
struct Window {
    since: Instant,
    events: BTreeMap<String, Spent>,
}

/// Passes lines on while their event has budget left, and says later how many it left out.
#[derive(Debug)]
pub struct LogBudget<D> {
    inner: D,
    lines_max: u32,
    window: Mutex<Window>,
    left_out: LeftOut,
}

/// How many lines were left out since the start; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct LeftOut {
    lines: Arc<std::sync::atomic::AtomicU64>,
}

impl LeftOut {
    /// The count.
    pub fn lines(&self) -> u64 {
        self.lines.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn add(&self) {
        self.lines.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }
}

impl<D: Drain> LogBudget<D> {
    /// Allows `lines_max` lines of each event a second.
    pub fn new(inner: D, lines_max: u32, now: Instant) -> Self {
        let window = Mutex::new(Window { since: now, events: BTreeMap::new() });
        Self { inner, lines_max, window, left_out: LeftOut::default() }
    }

    /// The count of lines left out.
    pub fn left_out(&self) -> LeftOut {
        self.left_out.clone()
    }

    /// Whether a line of an event may be written at `now`; with what was left out in a span that is over.
    fn spend(&self, now: Instant, event: String) -> (bool, Vec<(String, u64)>) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut over = Vec::new();
        if now.duration_since(window.since) >= SPAN {
            window.since = now;
            let events = std::mem::take(&mut window.events).into_iter();
            let short = events.filter(|(_, spent)| spent.left_out > 0);
            over = short.map(|(event, spent)| (event, spent.left_out)).collect();
        }
        let spent = window.events.entry(event).or_default();
        let may = spent.lines < self.lines_max;
        if may {
            spent.lines += 1;
        } else {
            spent.left_out += 1;
            self.left_out.add();
        }
        (may, over)
    }

    /// The same as [`Drain::log`], at a given instant.
    ///
    /// # Errors
    ///
    /// Those of the drain below.
    pub fn log_at(
        &self,
        now: Instant,
        record: &Record<'_>,
        values: &OwnedKVList,
    ) -> Result<(), D::Err> {
        let (may, over) = self.spend(now, event_of(record));
        for (event, lines) in over {
            let rs = record_static!(Level::Warning, "");
            let args = format_args!("log: lines left out");
            let about = b!("event" => "log.left_out", "of" => event, "lines" => lines);
            self.inner.log(&Record::new(&rs, &args, about), values)?;
        }
        if may {
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

/// The value of a record's `event`.
fn event_of(record: &Record<'_>) -> String {
    let mut finder = Finder { event: None };
    // A value that cannot be shown names no event.
    let found = record.kv().serialize(record, &mut finder);
    found.ok().and(finder.event).unwrap_or_else(|| NAMELESS.to_owned())
}

struct Finder {
    event: Option<String>,
}

impl Serializer for Finder {
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
