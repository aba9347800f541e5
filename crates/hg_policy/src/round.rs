//! What one round of decisions carries along.

use hg_model::{JobSpec, Term, Time};

use crate::{Decisions, WaitReason};

/// One round of decisions.
#[derive(Debug)]
pub(crate) struct Round {
    pub(crate) now: Time,
    pub(crate) term: Term,
    pub(crate) tries_left: usize,
    pub(crate) failed: Vec<(JobSpec, WaitReason)>,
    pub(crate) out: Decisions,
}

impl Round {
    /// Whether a smaller or easier job has already found no room in this round.
    pub(crate) fn known_failure(&self, spec: &JobSpec) -> Option<WaitReason> {
        let as_hard = |other: &JobSpec| {
            let (a, b) = (&other.shape, &spec.shape);
            a.per_task.fits(&b.per_task)
                && a.tasks <= b.tasks
                && (b.adjacent || !a.adjacent)
                && (other.is_stoppable() || !spec.is_stoppable())
        };
        self.failed.iter().find(|(other, _)| as_hard(other)).map(|(_, reason)| reason.clone())
    }
}
