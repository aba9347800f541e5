//! A job that has its final answer.

use hg_model::{
    AccountName, Answer, Digest, Finished, JobSpec, KindName, LeaseId, Lifecycle, Shape, Time,
    UpstreamName,
};
use serde::{Deserialize, Serialize};

use crate::{Job, JobNote};

/// What is remembered of a job after its end, so that the same id never runs twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Who paid.
    pub account: AccountName,
    /// The kind of work.
    pub kind: KindName,
    /// How many attempts were placed.
    pub attempts: u32,
    /// The final answer.
    pub answer: Answer,
    /// When it ended.
    pub at: Time,
    /// Where the answer came from.
    pub source: Option<EndedSource>,
    /// Its history; dropped when newer jobs have ended.
    pub notes: Vec<JobNote>,
    shape: Shape,
    idempotent: bool,
    body_sha256: Digest,
}

/// The upstream and the lease that an answer came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedSource {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The lease.
    pub lease: LeaseId,
}

impl EndedJob {
    /// Keeps what matters of a job that has just ended.
    pub(crate) fn new(job: Job, life: &Lifecycle<Finished>) -> Self {
        let finished = life.state();
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

    /// Whether a description is that of this job.
    pub fn matches_spec(&self, spec: &JobSpec) -> bool {
        self.account == spec.account
            && self.kind == spec.kind
            && self.shape == spec.shape
            && self.idempotent == spec.idempotent
            && self.body_sha256 == spec.body_sha256
    }
}
