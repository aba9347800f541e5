//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fmt::Display;
use std::fs::File;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with times to `record.txt`.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started: Instant::now(), file })
    }

    /// The time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl Display) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics while it writes a line");
        let written = writeln!(file, "{at:8.3} s  {text}");
        if written.is_err() {
            eprintln!("the record cannot be written");
        }
    }
}
