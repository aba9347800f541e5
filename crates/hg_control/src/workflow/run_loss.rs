//! Why the leader gives a run up as lost.

use derive_more::Display;
use hg_ledger::LostRun;

/// Why a run is given up as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum RunLossCause {
    /// Its upstream had confirmed the start, and lists it neither as active nor as ended.
    #[display("unlisted among {active} active and {ended} ended runs")]
    Unlisted {
        /// Number of active runs in the listing.
        active: usize,
        /// Number of ends in the listing.
        ended: usize,
    },
    /// Its upstream had acknowledged the stop, and lists it neither as active nor as ended.
    #[display("stopped")]
    Stopped,
    /// Its upstream refused the start.
    #[display("start refused")]
    Refused,
    /// No start was sent, and none will be.
    #[display("start not sent")]
    Unsent,
    /// All leases of its upstream have expired.
    #[display("lease expired")]
    LeaseExpired,
    /// Other members of its gang have ended, and its upstream does not respond.
    #[display("gang ended")]
    GangEnded,
}

/// A run that is given up as lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunLoss {
    /// The run, as the log records it.
    pub(crate) run: LostRun,
    /// Why.
    pub(crate) cause: RunLossCause,
}
