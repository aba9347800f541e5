//! A client of the control leader, for any process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use hg_link::{ControlClient, Reply, Request, WorkflowReply, WorkflowRequest};

use crate::CoreHandle;

/// Why a request got no reply.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NoReply {
    /// No leader received the request; it has no effect.
    #[display("no leader was reached")]
    Unsent,
    /// A leader may have received the request, and it may take effect.
    #[display("the leader did not answer")]
    OutcomeUnknown,
}

/// Sends requests to the leader: to the core of this process first, if it has one, then to other hosts.
#[derive(Debug, Clone)]
pub struct LeaderClient {
    client: Arc<ControlClient>,
    own_core: Option<(CoreHandle, SocketAddr)>,
}

impl LeaderClient {
    /// A client for a process without a core.
    pub const fn new(client: Arc<ControlClient>) -> Self {
        Self { client, own_core: None }
    }

    /// Adds the core of this process, and the address at which it listens for links.
    #[must_use]
    pub fn with_core(mut self, core: CoreHandle, link: SocketAddr) -> Self {
        self.own_core = Some((core, link));
        self
    }

    /// The address at which the leader listens for links, as of the last reply.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.client.leader()
    }

    /// The client of the control hosts' links.
    pub fn control_client(&self) -> &ControlClient {
        &self.client
    }

    /// Adds the control hosts that the settings name, if any.
    pub fn add_hosts(&self, seeds: Option<Vec<SocketAddr>>) {
        self.client.add_hosts(seeds.into_iter().flatten());
    }

    /// Sends a request and waits for the reply: up to `limit` for the core of this process, and again up
    /// to `limit` for the other hosts.
    ///
    /// # Errors
    ///
    /// [`NoReply`] if no leader replied in time.
    pub async fn request(
        &self,
        req: WorkflowRequest,
        limit: Duration,
    ) -> Result<WorkflowReply, NoReply> {
        let req = Request::Workflow(req);
        let mut outcome_unknown = false;
        if let Some((core, link)) = &self.own_core {
            match tokio::time::timeout(limit, core.request(req.clone())).await {
                Ok(Reply::Workflow(reply)) => {
                    self.client.set_leader(*link);
                    return Ok(reply);
                }
                Ok(Reply::NotLeader { address, .. }) => {
                    self.client.record_leader_hint(*link, address);
                }
                Ok(Reply::Busy) => {}
                Ok(_) | Err(_) => outcome_unknown = true,
            }
        }
        match self.client.request(&req, limit).await {
            Ok(Reply::Workflow(reply)) => Ok(reply),
            Ok(_) => Err(NoReply::OutcomeUnknown),
            Err(error) if error.outcome_unknown || outcome_unknown => Err(NoReply::OutcomeUnknown),
            Err(_) => Err(NoReply::Unsent),
        }
    }
}
