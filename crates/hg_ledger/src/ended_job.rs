//! A job that has its final answer.

use hg_model::{
    AccountName, Answer, Digest, Finished, JobSpec, KindName, LeaseId, Lifecycle, Shape, Time,
    UpstreamName,
};
use serde::{Deserialize, Serialize};

use crate::{Job, JobNote};

/// What is kept of a job after its end, so that a resent request with the same id does not run
/// again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// The client account that paid.
    pub account: AccountName,
    /// The kind of work.
    pub kind: KindName,
    /// How many attempts were placed.
    pub attempts: u32,
    /// The final answer.
    pub answer: Answer,
    /// When it ended.
    pub at: Time,
    /// Where the answer came from; `None` if the job was not running when it ended.
    pub source: Option<EndedSource>,
    /// Its history; dropped once [`crate::ENDED_WITH_NOTES_MAX`] newer jobs have ended.
    pub notes: Vec<JobNote>,
    shape: Shape,
    idempotent: bool,
    body_sha256: Digest,
}

/// The lease that an answer came from, and its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedSource {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The lease.
    pub lease: LeaseId,
}

impl EndedJob {
    /// Keeps the fields of a job that are needed after its end.
    pub(crate) fn new(job: Job, lifecycle: &Lifecycle<Finished>) -> Self {
        let finished = lifecycle.state();
        let source = finished.last().and_then(|attempt| {
            let upstream = attempt.members.first()?.upstream.clone();
            Some(EndedSource { upstream, lease: attempt.lease(&job.spec.id, 0) })
        });
        Self {
            account: job.spec.account,
            kind: job.spec.kind,
            attempts: job.attempts,
            answer: finished.answer().clone(),
            at: finished.at(),
            source,
            notes: job.notes,
            shape: job.spec.shape,
            idempotent: job.spec.idempotent,
            body_sha256: job.spec.body_sha256,
        }
    }

    /// Whether a request describes this job, so that it may be a resent one.
    pub fn matches_spec(&self, spec: &JobSpec) -> bool {
        self.account == spec.account
            && self.kind == spec.kind
            && self.shape == spec.shape
            && self.idempotent == spec.idempotent
            && self.body_sha256 == spec.body_sha256
    }
}
