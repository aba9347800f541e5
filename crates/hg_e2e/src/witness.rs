//! The record that fake upstreams keep of the tasks that they started.

use std::path::PathBuf;

/// Reader of a deployment's witness file, in which each start of a lease is one line:
/// `start JOB LEASE UPSTREAM TASKS`.
#[derive(Debug, Clone)]
pub struct Witness {
    file: PathBuf,
}

impl Witness {
    /// Creates a reader of this file; a file that does not exist is read as empty.
    pub const fn new(file: PathBuf) -> Self {
        Self { file }
    }

    /// Number of starts of a job; each lease of a gang counts as one.
    pub fn starts(&self, job: &str) -> usize {
        let prefix = format!("start {job} ");
        self.lines().iter().filter(|line| line.starts_with(&prefix)).count()
    }

    /// Number of starts on an upstream.
    pub fn starts_on(&self, upstream: &str) -> usize {
        let on = |line: &&String| line.split(' ').nth(3) == Some(upstream);
        self.lines().iter().filter(on).count()
    }

    fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.file).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}
