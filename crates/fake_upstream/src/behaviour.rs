//! How a task behaves.

use serde::Deserialize;

/// What a job's body asks of the stand-in; a body that is not such JSON is answered at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// How long it runs, in milliseconds.
    pub run_ms: u64,
    /// Whether it fails at the end.
    pub fail: bool,
    /// Free text, echoed in the answer.
    pub text: String,
}

impl Behaviour {
    /// Reads a body.
    pub fn of(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_else(|_| Self {
            text: String::from_utf8_lossy(body).into_owned(),
            ..Self::default()
        })
    }
}
