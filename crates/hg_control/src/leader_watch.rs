//! Monitors the control leader while a process runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hg_link::{WorkflowReply, WorkflowRequest};
use slog::{Logger, info};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::LeaderWay;

/// How often the leader is asked whether it is there.
const PING_EVERY: Duration = Duration::from_millis(500);
/// How long its answer may take.
const PING_LIMIT: Duration = Duration::from_millis(1_000);
/// After how many pings the settings are looked at again; they may change without a signal.
const SETTINGS_EVERY: u32 = 6;

/// Asks for the leader again and again, learns where control hosts are, and says whether one answers
/// and has a catalog.
///
/// `seeds` reads the control hosts that the settings name at present; it logs what keeps it from that.
pub async fn watch_leader(
    way: LeaderWay,
    ready: Arc<watch::Sender<bool>>,
    seeds: impl Fn() -> Option<Vec<SocketAddr>> + Send,
    log: Logger,
) {
    let mut turn: u32 = 0;
    loop {
        if turn.is_multiple_of(SETTINGS_EVERY) {
            way.learn(seeds());
        }
        turn = turn.wrapping_add(1);
        let is_ready = match way.ask(WorkflowRequest::Ping, PING_LIMIT).await {
            Ok(WorkflowReply::Ready { catalog, controls }) => {
                way.client().add_hosts(controls);
                catalog.is_some()
            }
            Ok(_) | Err(_) => false,
        };
        if ready.send_replace(is_ready) != is_ready {
            let event = if is_ready { "control.regained" } else { "control.lost" };
            info!(log, "door: control leader"; "event" => event);
        }
        sleep(PING_EVERY).await;
    }
}
