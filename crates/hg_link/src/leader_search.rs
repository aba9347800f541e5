//! The search for the control leader among hosts of which some may not answer.
//!
//! All hosts are asked at the same time, each at its own pace, so that one that is gone delays nothing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;

use crate::control_client::HOST_TIMEOUT;
use crate::{ControlClient, LinkError, Reply, Request, WorkflowRequest};

/// Delay before a host that does not know the leader is asked again, at first; it doubles each time.
const ASK_AGAIN_MIN: Duration = Duration::from_millis(25);
/// The longest such delay: what a search may add to an election.
const ASK_AGAIN_MAX: Duration = Duration::from_millis(200);

/// What a host replied, and how long to wait before it is asked again.
type Answer = (SocketAddr, Duration, Result<Reply, LinkError>);

impl ControlClient {
    /// Asks all hosts but `except` until one of them replies as the leader.
    pub(crate) async fn search_leader(&self, except: Option<SocketAddr>) -> SocketAddr {
        let mut asked = BTreeSet::from_iter(except);
        let mut asking = FuturesUnordered::new();
        loop {
            // Replies may have named hosts that were not known before.
            for host in self.hosts() {
                if asked.insert(host) {
                    asking.push(self.ask_after(Duration::ZERO, host));
                }
            }
            let Some((host, pause, reply)) = asking.next().await else {
                // All hosts are `except`; others may be learned meanwhile.
                sleep(ASK_AGAIN_MAX).await;
                continue;
            };
            match reply {
                // A follower may name a leader that is gone, so the leader itself has to reply.
                Ok(Reply::NotLeader { address, .. }) => self.add_hosts(address),
                Ok(Reply::Busy | Reply::Unsure) | Err(_) => {}
                Ok(_) => return host,
            }
            asking.push(self.ask_after((pause * 2).clamp(ASK_AGAIN_MIN, ASK_AGAIN_MAX), host));
        }
    }

    async fn ask_after(&self, pause: Duration, host: SocketAddr) -> Answer {
        sleep(pause).await;
        let reply = async {
            let ping = Request::Workflow(WorkflowRequest::Ping);
            self.link(host).await?.request(&ping, HOST_TIMEOUT).await
        };
        (host, pause, reply.await)
    }
}
