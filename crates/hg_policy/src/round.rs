//! The state of one scheduling round.

use hg_model::{JobSpec, Term, Time};

use crate::{Decisions, WaitReason};

/// The state of one scheduling round: its time and term, how many failed placements remain, the
/// jobs whose placement failed, and the decisions so far.
#[derive(Debug)]
pub(crate) struct Round {
    pub(crate) now: Time,
    pub(crate) term: Term,
    pub(crate) tries_left: usize,
    pub(crate) failed: Vec<(JobSpec, WaitReason)>,
    pub(crate) out: Decisions,
}

impl Round {
    /// Returns why a job cannot be placed, if a job that is no harder to place has failed in this
    /// round.
    pub(crate) fn known_failure(&self, spec: &JobSpec) -> Option<WaitReason> {
        let is_no_harder = |other: &JobSpec| {
            let (a, b) = (&other.shape, &spec.shape);
            a.per_task.fits(&b.per_task)
                && a.tasks <= b.tasks
                && (b.adjacent || !a.adjacent)
                && (other.is_stoppable() || !spec.is_stoppable())
        };
        self.failed.iter().find(|(other, _)| is_no_harder(other)).map(|(_, reason)| reason.clone())
    }
}
