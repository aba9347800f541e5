//! Decisions about workflows: which task starts where, what is stopped to make room, what waits.
//!
//! One module a decision, each pure:
//!
//! * [`ready`](self) lists the steps whose turn has come and ranks them (load: more work than room).
//! * `guarantee` tells which urgent work is covered (load: one account floods the pool with urgent work).
//! * `placement` finds upstreams for a step (load: small tasks scattered over racks).
//! * `headroom` keeps upstreams free for urgent work to come (load: waves of urgent work on a full pool).
//! * `held` keeps room that is being cleared (load: many urgent steps at the same time).
//! * `reservation` lets room drain for gangs (load: small tasks that take all room as it becomes free).
//! * `reclaim` finds the cheapest work to stop for an urgent step (load: a full pool).
//! * `evacuate` moves work off upstreams that are about to leave (load: a pool that is rolled).
//! * `speed` learns which upstreams are slow or stand still (load: workers that slow down).
//! * `pace` slows work that only fills gaps (load: fillers that disturb tasks with users of their own).
//! * `tickets` asks another service where a step may run (load: a service that decides slowly).
//! * `waves` and `availability` take hosts down for upkeep (load: maintenance of a busy pool).
//! * `standby` fetches hosts and gives them back (load: more work than a pool holds, for a while).
//! * `admission` turns away what can never run (load: jobs that no upstream can hold).
//! * [`WorkflowScheduler`] ties them together.

mod admission;
mod availability;
mod evacuate;
mod fleet;
mod guarantee;
mod headroom;
mod held;
mod pace;
mod placement;
mod ready;
mod reclaim;
mod reservation;
mod room_map;
mod scheduler;
mod speed;
mod standby;
mod tickets;
mod waves;

pub use admission::{Rejection, admit};
pub use fleet::FleetObservations;
pub use pace::PaceChange;
pub use scheduler::{RunStop, StopReason, WorkflowDecisions, WorkflowScheduler};
pub use standby::HostMove;
pub use tickets::{AdviceRequest, TicketCache};
pub use waves::UpkeepOrder;
