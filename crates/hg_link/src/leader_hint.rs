//! Which control host is presumed to lead, from the replies of the hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// How long hints to a host that did not answer are ignored. Followers name a leader that is gone until they
/// elect another.
const DISTRUST: Duration = Duration::from_secs(1);

/// The presumed leader, and which hosts did not answer lately.
#[derive(Debug, Default)]
pub(crate) struct LeaderHint {
    leader: Option<SocketAddr>,
    /// When a request to a host last failed; removed once it answers.
    failed: BTreeMap<SocketAddr, Instant>,
}

impl LeaderHint {
    pub(crate) const fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Records that a host leads.
    pub(crate) fn record_leader(&mut self, leader: SocketAddr) {
        self.failed.remove(&leader);
        self.leader = Some(leader);
    }

    /// Records that `follower` does not lead and believes that `leader` does. Returns the host that is
    /// presumed to lead from now on.
    pub(crate) fn record_hint(
        &mut self,
        now: Instant,
        follower: SocketAddr,
        leader: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        self.failed.remove(&follower);
        let hint = leader.filter(|leader| *leader != follower && !self.is_distrusted(now, *leader));
        if hint.is_some() || self.leader == Some(follower) {
            self.leader = hint;
        }
        hint
    }

    /// Records that a request to a host failed, or was not answered in time.
    pub(crate) fn record_failure(&mut self, now: Instant, host: SocketAddr) {
        self.failed.retain(|_, at| now < *at + DISTRUST);
        self.failed.insert(host, now);
        self.forget(host);
    }

    /// Records that a host no longer leads.
    pub(crate) fn forget(&mut self, host: SocketAddr) {
        if self.leader == Some(host) {
            self.leader = None;
        }
    }

    fn is_distrusted(&self, now: Instant, host: SocketAddr) -> bool {
        self.failed.get(&host).is_some_and(|at| now < *at + DISTRUST)
    }
}
