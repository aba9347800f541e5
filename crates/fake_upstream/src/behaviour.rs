//! How the tasks of a job behave.

use serde::Deserialize;

/// Behaviour that a job's body asks of the fake upstream. A body that is not such JSON makes the job
/// succeed at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Whether the job fails at the end of its run time.
    pub fail: bool,
    /// Free text, echoed in the answer.
    pub text: String,
}

impl Behaviour {
    /// Parses a job's body; any other text than JSON of this type becomes `text`.
    pub fn from_body(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_else(|_| Self {
            text: String::from_utf8_lossy(body).into_owned(),
            ..Self::default()
        })
    }
}
