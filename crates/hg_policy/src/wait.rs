//! Why a job waits.

use derive_more::Display;
use hg_model::UpstreamName;
use serde::{Deserialize, Serialize};

/// What a waiting job waits for.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// It has not been looked at yet.
    #[display("waits for its turn")]
    Turn,
    /// Its account uses all that its plan allows.
    #[display("waits: the account uses all that its plan allows")]
    PlanLimit,
    /// No upstream has room now.
    #[display("waits: no upstream has room for it now")]
    #[serde(rename = "no_room")]
    NoCapacity,
    /// No rack has enough adjacent room now.
    #[display("waits: no rack has enough adjacent room now")]
    #[serde(rename = "no_adjacent_room")]
    NoAdjacentCapacity,
    /// All free room is needed for guarantees, and the job could not be stopped.
    #[display("waits: the free room is guaranteed to others and the job could not be stopped")]
    #[serde(rename = "guaranteed_room")]
    GuaranteedCapacity,
    /// Room is held for it while others finish.
    #[display("waits: room is held on {_0} upstreams, first {_1}")]
    #[serde(rename = "held")]
    Reserved(usize, UpstreamName),
    /// Its guarantee is being reclaimed.
    #[display("waits: reclaiming its guarantee on {_0}")]
    Reclaiming(UpstreamName),
}
