//! Attempts to run a job, their leases, guaranteed parts and leadership terms.

use std::str::FromStr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::{AccountName, JobId, NameError, Time, UpstreamName};

/// A leadership term, used as a fencing token: an upstream refuses a lower term than it has seen.
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

/// The id of a lease, which is the right of one member of one attempt to run.
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

/// The id of one part of an account's guaranteed block; each part is placed on one upstream.
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

/// The part of an attempt that runs on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The upstream.
    pub upstream: UpstreamName,
    /// How many of the job's tasks it runs.
    pub tasks: u32,
    /// The guaranteed part that it claims; `None` if it borrows free capacity.
    pub mark: Option<MarkId>,
}

/// One try to run a job on a set of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The attempt's number within its job, from 1.
    pub number: u32,
    /// The term of the leader that decided it.
    pub term: Term,
    /// When it was decided.
    pub placed_at: Time,
    /// Its members, one for each upstream.
    pub members: Vec<Member>,
}

impl Attempt {
    /// The lease of the member at `index`.
    pub fn lease(&self, job: &JobId, index: usize) -> LeaseId {
        let member = u32::try_from(index).unwrap_or(u32::MAX);
        LeaseId { job: job.clone(), attempt: self.number, member }
    }
}
