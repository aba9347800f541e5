//! Decisions about workflows: which task starts where, what is stopped to make room, what waits.
//!
//! One module a decision, each pure:
//!
//! * [`ready`](self) lists the steps whose turn has come and ranks them (load: more work than room).
//! * `guarantee` tells which urgent work is covered (load: one account floods the pool with urgent work).
//! * `placement` finds upstreams for a step (load: small tasks scattered over racks).
//! * `reclaim` finds the cheapest work to stop for an urgent step (load: a full pool).
//! * `evacuate` moves work off upstreams that are about to leave (load: a pool that is rolled).
//! * `speed` learns which upstreams are slow or stand still (load: workers that slow down).
//! * `admission` turns away what can never run (load: jobs that no upstream can hold).
//! * [`WorkflowScheduler`] ties them together and holds room that is being cleared.

mod admission;
mod evacuate;
mod fleet;
mod guarantee;
mod placement;
mod ready;
mod reclaim;
mod room_map;
mod scheduler;
mod speed;

pub use admission::{Rejection, admit};
pub use fleet::Fleet;
pub use scheduler::{RunStop, StopReason, WorkflowDecisions, WorkflowScheduler};
