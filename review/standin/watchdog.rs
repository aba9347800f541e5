//! Ends the processes of a case that takes too long.

use std::process::Command;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// A case may take 120 s.
const LIMIT: Duration = Duration::from_secs(116);

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Starts to watch the time.
pub fn start() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        for id in STARTED.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            drop(Command::new("kill").args(["-KILL", &id.to_string()]).status());
        }
        println!("the case could not run: it took longer than {LIMIT:?}");
        std::process::exit(2);
    });
}

/// Adds a process that the case has started.
pub fn watch(id: u32) {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(id);
}
