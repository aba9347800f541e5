//! Attempts, leases and terms.

use std::str::FromStr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::{AccountName, JobId, NameError, Time, UpstreamName};

/// The leader's term; an upstream refuses a lower one than it has seen.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Names a lease: the right of one member of one attempt to run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{job}.{attempt}.{member}")]
#[serde(into = "String", try_from = "String")]
pub struct LeaseId {
    /// The job.
    pub job: JobId,
    /// Which attempt of the job, from 1.
    pub attempt: u32,
    /// Which member of the attempt, from 0.
    pub member: u32,
}

impl From<LeaseId> for String {
    fn from(lease: LeaseId) -> Self {
        lease.to_string()
    }
}

impl TryFrom<String> for LeaseId {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl FromStr for LeaseId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let error = || NameError { what: "lease id", text: text.to_owned() };
        let (rest, member) = text.rsplit_once('.').ok_or_else(error)?;
        let (job, attempt) = rest.rsplit_once('.').ok_or_else(error)?;
        Ok(Self {
            job: JobId::new(job)?,
            attempt: attempt.parse().map_err(|_| error())?,
            member: member.parse().map_err(|_| error())?,
        })
    }
}

/// Names one part of a guaranteed block of an account.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{account}/{block}/{part}")]
pub struct MarkId {
    /// The account that holds the guarantee.
    pub account: AccountName,
    /// Which guarantee of its plan, from 0.
    pub block: u16,
    /// Which part of the block, from 0.
    pub part: u16,
}

/// The share of an attempt on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The upstream.
    pub upstream: UpstreamName,
    /// How many of the job's tasks it runs.
    pub tasks: u32,
    /// The guaranteed part it claims; `None` if it borrows.
    pub mark: Option<MarkId>,
}

/// One try to run a job on a set of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Counts the tries of this job, from 1.
    pub number: u32,
    /// The term of the leader that decided it.
    pub term: Term,
    /// When it was decided.
    pub placed_at: Time,
    /// One entry for each upstream.
    pub members: Vec<Member>,
}

impl Attempt {
    /// The lease of the member at `index`.
    pub fn lease(&self, job: &JobId, index: usize) -> LeaseId {
        let member = u32::try_from(index).unwrap_or(u32::MAX);
        LeaseId { job: job.clone(), attempt: self.number, member }
    }
}
