//! The rate of log lines is limited, and dropped lines are reported.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hg_settings::LogBudget;
use slog::{Drain, Level, Never, OwnedKVList, Record, b, o, record_static};

/// A drain that records the messages it receives.
#[derive(Debug, Clone, Default)]
struct RecordingDrain(Arc<Mutex<Vec<String>>>);

impl Drain for RecordingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().expect("no panics").push(record.msg().to_string());
        Ok(())
    }
}

fn log(budget: &LogBudget<RecordingDrain>, now: Instant, event: &str, text: &str) {
    let rs = record_static!(Level::Info, "");
    let args = format_args!("{text}");
    let values = OwnedKVList::from(o!());
    let logged = budget.log_at(now, &Record::new(&rs, &args, b!("event" => event)), &values);
    logged.expect("the drain never fails");
}

#[test]
fn exhausted_budget_does_not_affect_other_events() {
    let (drain, now) = (RecordingDrain::default(), Instant::now());
    let budget = LogBudget::new(drain.clone(), 3, now);
    for _ in 0..10 {
        log(&budget, now, "run.placed", "placed");
    }
    log(&budget, now, "lead.begin", "leads");
    let lines = drain.0.lock().expect("no panics").clone();
    assert_eq!(lines, ["placed", "placed", "placed", "leads"]);
    assert_eq!(budget.dropped_lines().lines(), 7);
}

#[test]
fn budget_reports_dropped_lines_in_the_next_window() {
    let (drain, now) = (RecordingDrain::default(), Instant::now());
    let budget = LogBudget::new(drain.clone(), 1, now);
    for _ in 0..5 {
        log(&budget, now, "run.placed", "placed");
    }
    log(&budget, now + Duration::from_millis(1_100), "run.placed", "placed again");
    let lines = drain.0.lock().expect("no panics").clone();
    assert_eq!(lines, ["placed", "log: lines dropped", "placed again"]);
}

/// If the output blocks, lines that cannot be queued are dropped and no caller waits.
#[test]
fn blocked_output_does_not_block_callers() {
    #[derive(Debug)]
    struct Blocked(Mutex<()>);
    impl Drain for Blocked {
        type Ok = ();
        type Err = Never;

        fn log(&self, _: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
            drop(self.0.lock());
            Ok(())
        }
    }
    let blocked = Arc::new(Blocked(Mutex::new(())));
    let guard = blocked.0.lock().expect("no panics");
    let drain = slog_async::Async::new(Arc::clone(&blocked).fuse()).chan_size(16).build().fuse();
    let log = slog::Logger::root(drain, o!());
    for number in 0..10_000 {
        slog::info!(log, "line"; "number" => number);
    }
    // All calls have returned although nothing was written.
    drop(guard);
}
