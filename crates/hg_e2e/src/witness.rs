//! What the stand-in upstreams wrote down of their starts.

use std::path::PathBuf;

/// The witness file of a deployment.
#[derive(Debug, Clone)]
pub struct Witness {
    file: PathBuf,
}

impl Witness {
    /// Names the file; it need not exist yet.
    pub const fn new(file: PathBuf) -> Self {
        Self { file }
    }

    /// How often a job was started, each member of a gang counted.
    pub fn starts(&self, job: &str) -> usize {
        let prefix = format!("start {job} ");
        self.lines().iter().filter(|line| line.starts_with(&prefix)).count()
    }

    /// How many starts there were on an upstream.
    pub fn starts_on(&self, upstream: &str) -> usize {
        let on = |line: &&String| line.split(' ').nth(3) == Some(upstream);
        self.lines().iter().filter(on).count()
    }

    fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.file).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}
