//! Links between the system's own processes.
//!
//! A link is a QUIC connection with mutual TLS under the deployment's own authority. On it travel
//! typed messages, each framed by a version byte and encoded by a library.
//!
//! * [`Request`] and [`Reply`]: what an entry asks of control, one stream each.
//! * [`Directive`]: what the control leader tells an entry.
//! * [`KeyFolder`]: the authority and the keys of the hosts, on disk.
//! * [`ControlClient`] finds the control leader and asks it.
//! * [`LinkEndpoint`] and [`Link`]: connecting, accepting, sending and receiving.

mod codec;
mod control_client;
mod directive;
mod endpoint;
mod error;
mod keys;
mod link;
mod request;
mod view;
mod workflow;

pub use codec::{FRAME_MAX_BYTES, VERSION, decode, encode};
pub use control_client::{ControlClient, ControlError};
pub use directive::{AttemptMember, AttemptOrder, AttemptPhase, Directive};
pub use endpoint::{LinkEndpoint, PendingLink, SetupError};
pub use error::{LinkCause, LinkError, LinkStep};
pub use keys::{KeyError, KeyFolder};
pub use link::{Incoming, Link};
pub use request::{EntryHeartbeat, Reply, Request};
pub use view::{AnswerSource, ClusterView, JobView, RefusedView, ReplicaView, UpstreamView};
pub use workflow::{CallerAction, CallerRequest, WorkflowReply, WorkflowRequest};
