//! A background task that checks whether a control leader is reachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hg_link::{WorkflowReply, WorkflowRequest};
use slog::{Logger, info};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::LeaderClient;

/// How often the leader is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long the leader may take to reply to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// After how many pings the settings are read again; they may change without a signal.
const PINGS_PER_SETTINGS_READ: u32 = 6;

/// Pings the leader periodically, adds the control hosts that it names, and sets `catalog` to the version of its catalog: none
/// if no leader replies or it has none.
///
/// `seeds` reads the control hosts that the settings name now, and logs an error if it can't.
pub async fn watch_leader(
    leader: LeaderClient,
    catalog: Arc<watch::Sender<Option<u64>>>,
    seeds: impl Fn() -> Option<Vec<SocketAddr>> + Send,
    log: Logger,
) {
    let mut round: u32 = 0;
    loop {
        if round.is_multiple_of(PINGS_PER_SETTINGS_READ) {
            leader.add_hosts(seeds());
        }
        round = round.wrapping_add(1);
        let version = match leader.request(WorkflowRequest::Ping, PING_TIMEOUT).await {
            Ok(WorkflowReply::Ready { catalog, controls }) => {
                leader.control_client().add_hosts(controls);
                catalog
            }
            Ok(_) | Err(_) => None,
        };
        if catalog.send_replace(version).is_some() != version.is_some() {
            let event = if version.is_some() { "control.regained" } else { "control.lost" };
            info!(log, "door: readiness of the control leader changed"; "event" => event);
        }
        sleep(PING_INTERVAL).await;
    }
}
