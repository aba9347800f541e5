//! The volume of logs stays bounded, and what is left out is told.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hg_settings::LogBudget;
use slog::{Drain, Level, Never, OwnedKVList, Record, b, o, record_static};

/// Keeps what is logged.
#[derive(Debug, Clone, Default)]
struct Kept(Arc<Mutex<Vec<String>>>);

impl Drain for Kept {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().expect("no panics").push(record.msg().to_string());
        Ok(())
    }
}

fn log(budget: &LogBudget<Kept>, now: Instant, event: &str, text: &str) {
    let rs = record_static!(Level::Info, "");
    let args = format_args!("{text}");
    let values = OwnedKVList::from(o!());
    let logged = budget.log_at(now, &Record::new(&rs, &args, b!("event" => event)), &values);
    logged.expect("it never fails");
}

#[test]
fn budget_of_one_event_leaves_others_alone() {
    let (kept, now) = (Kept::default(), Instant::now());
    let budget = LogBudget::new(kept.clone(), 3, now);
    for _ in 0..10 {
        log(&budget, now, "run.placed", "placed");
    }
    log(&budget, now, "lead.begin", "leads");
    let lines = kept.0.lock().expect("no panics").clone();
    assert_eq!(lines, ["placed", "placed", "placed", "leads"]);
    assert_eq!(budget.left_out().lines(), 7);
}

#[test]
fn budget_tells_what_was_left_out_in_the_next_span() {
    let (kept, now) = (Kept::default(), Instant::now());
    let budget = LogBudget::new(kept.clone(), 1, now);
    for _ in 0..5 {
        log(&budget, now, "run.placed", "placed");
    }
    log(&budget, now + Duration::from_millis(1_100), "run.placed", "placed again");
    let lines = kept.0.lock().expect("no panics").clone();
    assert_eq!(lines, ["placed", "log: lines left out", "placed again"]);
}

/// A reader that never reads: what cannot be written is dropped, and nobody waits.
#[test]
fn blocked_output_holds_nobody_up() {
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
