//! The way to the control leader, from any process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use hg_link::{ControlClient, Reply, Request, WorkflowReply, WorkflowRequest};

use crate::Driver;

/// Why no reply came.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NoReply {
    /// Nobody took the request; it changes nothing.
    #[display("no leader was reached")]
    Unsent,
    /// It may have been taken, and may take effect.
    #[display("the leader did not answer")]
    Unsure,
}

/// Asks the leader: the core of this process if it leads, else whoever does.
#[derive(Debug, Clone)]
pub struct LeaderWay {
    client: Arc<ControlClient>,
    own: Option<(Driver, SocketAddr)>,
}

impl LeaderWay {
    /// A process without a core.
    pub const fn new(client: Arc<ControlClient>) -> Self {
        Self { client, own: None }
    }

    /// A process with a core of its own, and where that listens for links.
    #[must_use]
    pub fn with_core(mut self, driver: Driver, link: SocketAddr) -> Self {
        self.own = Some((driver, link));
        self
    }

    /// Where the leader listens for links, as of the last answer.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.client.leader()
    }

    /// The client below.
    pub fn client(&self) -> &ControlClient {
        &self.client
    }

    /// Learns of control hosts that the settings name.
    pub fn learn(&self, seeds: Option<Vec<SocketAddr>>) {
        self.client.add_hosts(seeds.into_iter().flatten());
    }

    /// Asks, for as long as `limit`.
    ///
    /// # Errors
    ///
    /// [`NoReply`] if no leader answered in time.
    pub async fn ask(
        &self,
        req: WorkflowRequest,
        limit: Duration,
    ) -> Result<WorkflowReply, NoReply> {
        let req = Request::Workflow(req);
        let mut unsure = false;
        if let Some((driver, link)) = &self.own {
            match tokio::time::timeout(limit, driver.ask(req.clone())).await {
                Ok(Reply::Workflow(reply)) => {
                    self.client.set_leader(*link);
                    return Ok(reply);
                }
                Ok(Reply::NotLeader { address, .. }) => {
                    self.client.record_leader_hint(*link, address)
                }
                Ok(Reply::Busy) => {}
                Ok(_) | Err(_) => unsure = true,
            }
        }
        match self.client.ask(&req, limit).await {
            Ok(Reply::Workflow(reply)) => Ok(reply),
            Ok(_) => Err(NoReply::Unsure),
            Err(error) if error.outcome_unknown || unsure => Err(NoReply::Unsure),
            Err(_) => Err(NoReply::Unsent),
        }
    }
}
