//! A control host loses its disk, or its log is damaged: it comes back as a new replica, and the history
//! survives the loss of further hosts.

use std::fs;

use hg_e2e::{Deployment, job, wait_until};
use serde_json::Value;

/// Whether a replica on this host votes that has replaced the first one (incarnation 1).
fn is_new_voter(status: &Value, host: &str) -> bool {
    let replicas = status["replicas"].as_array();
    replicas.is_some_and(|list| {
        list.iter().any(|r| r["host"] == host && r["voter"] == true && r["incarnation"] != 1)
    })
}

/// The history must survive on the repaired host when the other two hosts fail one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_then_second_host() -> eyre::Result<()> {
    let mut deployment = Deployment::start(2).await?;
    // Enough history for several snapshots.
    for n in 0..60 {
        let reply =
            deployment.api(n % 3).submit(&job(&format!("old-{n}"), true, 0, 60_000)).await?;
        assert_eq!(reply.body["kind"], "answered", "{reply:?}");
    }
    let leader = deployment.leader(0).await?;
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    deployment.kill(&format!("c{first}"))?;
    fs::remove_file(deployment.replica_log_path(first))?;
    deployment.start_control(first)?;
    wait_until("the vote of the new replica", async || {
        deployment.status(0).await.is_ok_and(|status| is_new_voter(&status, &format!("c{first}")))
    })
    .await?;
    // The second host fails right after the repair: only the leader and the new replica are left.
    deployment.kill(&format!("c{second}"))?;
    let reply = deployment.api(1).submit(&job("after-second", false, 0, 60_000)).await?;
    assert_eq!(reply.body["kind"], "answered", "{reply:?}");
    // The second host returns and the leader fails: the repaired disk must have the history.
    deployment.start_control(second)?;
    deployment.kill(&format!("c{leader}"))?;
    wait_until("the answer of the earlier job", async || {
        let reply = deployment.api(2).get("/v1/jobs/after-second").await;
        reply.is_ok_and(|reply| reply.body["kind"] == "answered")
    })
    .await?;
    for n in 0..60 {
        assert_eq!(deployment.witness().starts(&format!("old-{n}")), 1);
    }
    Ok(())
}

/// A log with a damaged record is treated as a lost disk; it is never used as a
/// shorter history.
#[tokio::test(flavor = "multi_thread")]
async fn disk_byte_flipped() -> eyre::Result<()> {
    let mut deployment = Deployment::start(2).await?;
    for n in 0..10 {
        deployment.api(0).submit(&job(&format!("old-{n}"), true, 0, 60_000)).await?;
    }
    let leader = deployment.leader(0).await?;
    let damaged = (leader + 1) % 3;
    deployment.kill(&format!("c{damaged}"))?;
    let file = deployment.replica_log_path(damaged);
    let mut bytes = fs::read(&file)?;
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&file, bytes)?;
    deployment.start_control(damaged)?;
    wait_until("the vote of the new replica", async || {
        deployment.status(0).await.is_ok_and(|status| is_new_voter(&status, &format!("c{damaged}")))
    })
    .await?;
    assert!(deployment.process_output(&format!("c{damaged}"))?.contains("log.damaged"));
    Ok(())
}

/// A host that lost its disk must not found a second group while the first one exists.
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_founding_again_is_refused() -> eyre::Result<()> {
    let mut deployment = Deployment::start(1).await?;
    let leader = deployment.leader(0).await?;
    let lost = (leader + 1) % 3;
    deployment.kill(&format!("c{lost}"))?;
    fs::remove_file(deployment.replica_log_path(lost))?;
    let status = deployment.found_group(lost)?;
    assert!(!status.success(), "founding again must be refused");
    assert!(
        !deployment.replica_log_path(lost).exists(),
        "refused founding must leave no log behind"
    );
    Ok(())
}
