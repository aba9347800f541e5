//! All runs of tasks as the workers see them, and the rule TWICE over them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::record::Record;

/// One run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    pub worker: String,
    pub number: u64,
    pub started: Duration,
    /// When it ended and how; `None` while it runs.
    pub ended: Option<(Duration, String)>,
}

/// The runs of all tasks, by task.
#[derive(Debug, Clone)]
pub struct Runs {
    pub record: Record,
    runs: Arc<Mutex<BTreeMap<String, Vec<Run>>>>,
}

impl Runs {
    pub fn new(record: Record) -> Self {
        Self { record, runs: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Vec<Run>>> {
        self.runs.lock().expect("no thread panics while it holds the lock")
    }

    pub fn start(&self, worker: &str, task: &str, number: u64) {
        self.record.line(format!("run   {worker} starts {task} run {number}"));
        let started = self.record.elapsed();
        let run = Run { worker: worker.to_owned(), number, started, ended: None };
        self.lock().entry(task.to_owned()).or_default().push(run);
    }

    pub fn end(&self, worker: &str, task: &str, number: u64, how: &str) {
        self.record.line(format!("run   {worker} ends {task} run {number}: {how}"));
        let at = self.record.elapsed();
        let mut runs = self.lock();
        let of_task = runs.entry(task.to_owned()).or_default();
        let open = of_task
            .iter_mut()
            .find(|run| run.worker == worker && run.number == number && run.ended.is_none());
        if let Some(run) = open {
            run.ended = Some((at, how.to_owned()));
        }
    }

    /// All runs, by task.
    pub fn all(&self) -> BTreeMap<String, Vec<Run>> {
        self.lock().clone()
    }

    /// The runs on a worker.
    pub fn on(&self, worker: &str) -> Vec<Run> {
        self.lock().values().flatten().filter(|run| run.worker == worker).cloned().collect()
    }

    /// The pairs of runs of one task that ran at the same time. All workers whose runs are open are up: the end of a
    /// worker's life ends its runs.
    pub fn twice(&self) -> Vec<String> {
        let now = self.record.elapsed();
        let mut found = Vec::new();
        for (task, runs) in self.all() {
            for (at, first) in runs.iter().enumerate() {
                for second in &runs[at + 1..] {
                    let end = |run: &Run| run.ended.as_ref().map_or(now, |(at, _)| *at);
                    let begin = first.started.max(second.started);
                    let both_until = end(first).min(end(second));
                    if both_until > begin {
                        found.push(format!(
                            "{task}: run {} on {} and run {} on {} at the same time for {:.3} s from {:.3} s on",
                            first.number,
                            first.worker,
                            second.number,
                            second.worker,
                            (both_until - begin).as_secs_f64(),
                            begin.as_secs_f64()
                        ));
                    }
                }
            }
        }
        found
    }
}
