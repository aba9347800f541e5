//! What a test found.

use eyre::ensure;

/// Collects the checks that fail, so that a test makes all of them before it fails.
#[derive(Debug, Default)]
pub struct Findings {
    failed: Vec<String>,
}

impl Findings {
    /// Records an error.
    pub fn check(&mut self, what: &str, result: eyre::Result<()>) {
        if let Err(error) = result {
            self.failed.push(format!("{what}: {error}"));
        }
    }

    /// Records a value above what is allowed.
    pub fn check_max(&mut self, what: &str, value: usize, max: usize) {
        if value > max {
            self.failed.push(format!("{what}: {value}, allowed are {max}"));
        }
    }

    /// Records processes that ended by themselves.
    pub fn check_alive(&mut self, exited: &[String]) {
        if !exited.is_empty() {
            self.failed.push(format!("processes that ended: {exited:?}"));
        }
    }

    /// Ends the test.
    ///
    /// # Errors
    ///
    /// Names all checks that failed.
    pub fn finish(self) -> eyre::Result<()> {
        ensure!(self.failed.is_empty(), "{}", self.failed.join("; "));
        Ok(())
    }
}
