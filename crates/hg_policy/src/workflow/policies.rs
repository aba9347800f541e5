//! Which of the optional policies a deployment uses.

use std::collections::BTreeSet;
use std::str::FromStr;

use derive_more::{Display, Error};

/// A policy that a deployment's settings switch on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum WorkflowPolicy {
    /// Placement by the lasting speeds of hosts.
    #[display("host-speeds")]
    HostSpeeds,
    /// Learned distributions of run times.
    #[display("run-times")]
    RunTimes,
    /// A fair order among client accounts.
    #[display("fair-shares")]
    FairShares,
    /// Rejection of work that could not begin while it is of value.
    #[display("admission-forecast")]
    AdmissionForecast,
    /// Placement that keeps tasks apart that slow each other down.
    #[display("contention")]
    Contention,
}

impl WorkflowPolicy {
    const ALL: [Self; 5] = [
        Self::HostSpeeds,
        Self::RunTimes,
        Self::FairShares,
        Self::AdmissionForecast,
        Self::Contention,
    ];
}

/// A name that no policy has.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("unknown policy: {name}")]
pub struct UnknownPolicy {
    /// The name.
    pub name: String,
}

impl FromStr for WorkflowPolicy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|policy| policy.to_string() == name);
        found.ok_or_else(|| UnknownPolicy { name: name.to_owned() })
    }
}

/// The policies in use; none by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkflowPolicies {
    in_use: BTreeSet<WorkflowPolicy>,
}

impl WorkflowPolicies {
    /// Whether a policy is in use.
    pub fn uses(&self, policy: WorkflowPolicy) -> bool {
        self.in_use.contains(&policy)
    }
}

impl FromIterator<WorkflowPolicy> for WorkflowPolicies {
    fn from_iter<I: IntoIterator<Item = WorkflowPolicy>>(policies: I) -> Self {
        Self { in_use: policies.into_iter().collect() }
    }
}
