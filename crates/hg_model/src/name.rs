//! Validated names, stored as shared immutable strings.

use std::sync::Arc;

use derive_more::{AsRef, Display, Error};
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// A text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what} {text:?} is not 1 to {NAME_MAX_BYTES} characters out of a-z A-Z 0-9 . _ -")]
pub struct NameError {
    /// Which kind of name it should have been.
    pub what: &'static str,
    /// The invalid text, cut to `NAME_MAX_BYTES` characters.
    pub text: String,
}

fn check(what: &'static str, text: &str) -> Result<(), NameError> {
    let is_valid_length = !text.is_empty() && text.len() <= NAME_MAX_BYTES;
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if is_valid_length && text.chars().all(allowed) {
        return Ok(());
    }
    let text = text.chars().take(NAME_MAX_BYTES).collect();
    Err(NameError { what, text })
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        #[as_ref(str)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates a name and stores it.
            ///
            /// # Errors
            ///
            /// [`NameError`] if the text is empty, too long or has a character that is not allowed.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                check($what, text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// The name of a client account.
    AccountName,
    "account name"
);
name_type!(
    /// The name of a plan that client accounts hold.
    PlanName,
    "plan name"
);
name_type!(
    /// The name of an upstream, the back-end process on one worker host.
    UpstreamName,
    "upstream name"
);
name_type!(
    /// The name of a host.
    HostName,
    "host name"
);
name_type!(
    /// The name of a rack, the failure and adjacency domain inside a data centre.
    RackName,
    "rack name"
);
name_type!(
    /// The name of a data centre.
    DataCentreName,
    "data centre name"
);
name_type!(
    /// The name of an entry process.
    EntryName,
    "entry name"
);
name_type!(
    /// The id of a job or workflow, chosen by its caller.
    JobId,
    "job id"
);
name_type!(
    /// The name of a kind of work, such as `quick-quote`.
    KindName,
    "kind"
);
name_type!(
    /// The id that makes an operator's write idempotent.
    OperationId,
    "operation id"
);
name_type!(
    /// The name of a queue of workflows.
    QueueName,
    "queue name"
);
name_type!(
    /// The name of a pool of similar upstreams.
    PoolName,
    "pool name"
);
name_type!(
    /// A label of an upstream, which steps of workflows can require.
    Label,
    "label"
);
name_type!(
    /// The name of the image that a task runs.
    ImageName,
    "image name"
);
