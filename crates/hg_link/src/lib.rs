//! Links between the system's own processes.
//!
//! A link is a QUIC connection with mutual TLS under the deployment's own certificate authority. It
//! carries typed messages, each encoded with postcard and preceded by a protocol version byte.
//!
//! * [`Request`] and [`Reply`]: requests to the control leader, each on a stream of its own.
//! * [`Directive`]: messages from the control leader to an entry.
//! * [`KeyFolder`]: the certificate authority and the keys of the hosts, on disk.
//! * [`ControlClient`]: finds the control leader and sends requests to it.
//! * [`LinkEndpoint`] and [`Link`]: open and accept connections, send and receive messages.

mod codec;
mod control_client;
mod directive;
mod endpoint;
mod error;
mod keys;
mod leader_hint;
mod leader_search;
mod link;
mod request;
mod stream_limit;
mod view;
mod workflow;

pub use codec::{FRAME_MAX_BYTES, VERSION, decode, decode_prefix, encode};
pub use control_client::{ControlClient, ControlError};
pub use directive::{AttemptMember, AttemptOrder, AttemptPhase, Directive};
pub use endpoint::{LinkEndpoint, PendingLink, SetupError};
pub use error::{LinkCause, LinkError, LinkStep};
pub use keys::{KeyError, KeyFolder};
pub use link::{Incoming, Link};
pub use request::{EntryHeartbeat, Reply, Request};
pub use view::{AnswerSource, ClusterView, JobView, RefusedView, ReplicaView, UpstreamView};
pub use workflow::{CallerAction, CallerRequest, DrainView, WorkflowReply, WorkflowRequest};
