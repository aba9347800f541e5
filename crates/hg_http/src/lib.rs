//! The HTTP server of all processes. It serves untrusted clients, so everything that a client can make a process hold is
//! bounded: in total, not only for each client.
//!
//! * [`HttpLimits`] are the limits; [`HttpLimits::for_host`] derives them from the memory and the files of a process.
//! * [`ConnectionTable`] decides, without I/O: who is admitted, who is closed in favour of others, who is too slow.
//! * [`Server`] accepts connections and serves them with an endpoint of poem, as the table decides.
//!
//! A client that has been served on a connection keeps it before clients that have not. Whatever is refused here has not
//! reached the endpoint in full, so it never runs. A request that has reached it in full gets its response.

mod connection_table;
mod connections;
mod limits;
mod metered_body;
mod monitored_stream;
mod refusal;
mod server;

pub use connection_table::{Admission, Charge, Closure, ConnectionId, ConnectionTable, Stage};
pub use limits::{HttpLimits, files_limit};
pub use refusal::RefusalReason;
pub use server::Server;
