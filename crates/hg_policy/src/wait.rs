//! Why a job waits.

use derive_more::Display;
use hg_model::UpstreamName;
use serde::{Deserialize, Serialize};

/// Why a waiting job has not been placed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// It has not been considered yet.
    #[display("waits for its turn")]
    Turn,
    /// Its account uses all that its plan allows.
    #[display("waits: the account uses all that its plan allows")]
    PlanLimit,
    /// The upstreams do not have enough free capacity now.
    #[display("waits: no upstream has room for it now")]
    #[serde(rename = "no_room")]
    NoCapacity,
    /// No rack has enough free capacity for an adjacent job now.
    #[display("waits: no rack has enough adjacent room now")]
    #[serde(rename = "no_adjacent_room")]
    NoAdjacentCapacity,
    /// The free capacity is needed for guarantees, and the job could not be stopped.
    #[display("waits: the free room is guaranteed to others and the job could not be stopped")]
    #[serde(rename = "guaranteed_room")]
    GuaranteedCapacity,
    /// Upstreams are reserved for it while other jobs finish: their number and the first of them.
    #[display("waits: room is held on {_0} upstreams, first {_1}")]
    #[serde(rename = "held")]
    Reserved(usize, UpstreamName),
    /// Borrowers of its guarantee are being stopped, first on this upstream.
    #[display("waits: reclaiming its guarantee on {_0}")]
    Reclaiming(UpstreamName),
}
