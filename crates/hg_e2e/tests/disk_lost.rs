//! A control host loses its disk, comes back as a new replica, and then another host is lost.

use std::fs;

use hg_e2e::{Deployment, job, until};
use serde_json::Value;

fn votes(status: &Value, host: &str) -> bool {
    let replicas = status["replicas"].as_array();
    replicas.is_some_and(|list| {
        list.iter().any(|r| r["host"] == host && r["voter"] == true && r["incarnation"] != 1)
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_then_second_host() -> eyre::Result<()> {
    let mut deployment = Deployment::start(2).await?;
    // Some history, past a few snapshots.
    for n in 0..60 {
        let reply =
            deployment.api(n % 3).submit(&job(&format!("old-{n}"), true, 0, 60_000)).await?;
        assert_eq!(reply.body["kind"], "answered", "{reply:?}");
    }
    let leader = deployment.leader(0).await?;
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    deployment.kill(&format!("c{first}"))?;
    fs::remove_file(deployment.control_log(first))?;
    deployment.start_control(first)?;
    until("the vote of the new replica", async || {
        deployment.status(0).await.is_ok_and(|status| votes(&status, &format!("c{first}")))
    })
    .await?;
    // A second host is lost right after the repair: the other old one, then only new and leader are left.
    deployment.kill(&format!("c{second}"))?;
    let reply = deployment.api(1).submit(&job("after-second", false, 0, 60_000)).await?;
    assert_eq!(reply.body["kind"], "answered", "{reply:?}");
    // And the leader goes too while the other old one returns: the repaired disk must carry the history.
    deployment.start_control(second)?;
    deployment.kill(&format!("c{leader}"))?;
    until("the job from before", async || {
        let reply = deployment.api(2).get("/v1/jobs/after-second").await;
        reply.is_ok_and(|reply| reply.body["kind"] == "answered")
    })
    .await?;
    for n in 0..60 {
        assert_eq!(deployment.witness().starts(&format!("old-{n}")), 1);
    }
    Ok(())
}

/// A damaged log is treated as a lost disk, never as a shorter history.
#[tokio::test(flavor = "multi_thread")]
async fn disk_byte_flipped() -> eyre::Result<()> {
    let mut deployment = Deployment::start(2).await?;
    for n in 0..10 {
        deployment.api(0).submit(&job(&format!("old-{n}"), true, 0, 60_000)).await?;
    }
    let leader = deployment.leader(0).await?;
    let damaged = (leader + 1) % 3;
    deployment.kill(&format!("c{damaged}"))?;
    let file = deployment.control_log(damaged);
    let mut bytes = fs::read(&file)?;
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&file, bytes)?;
    deployment.start_control(damaged)?;
    until("the vote of the new replica", async || {
        deployment.status(0).await.is_ok_and(|status| votes(&status, &format!("c{damaged}")))
    })
    .await?;
    assert!(deployment.logged(&format!("c{damaged}"))?.contains("log.damaged"));
    Ok(())
}

/// A host that lost its disk cannot be founded again while the group lives.
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_founding_again_is_refused() -> eyre::Result<()> {
    let mut deployment = Deployment::start(1).await?;
    let leader = deployment.leader(0).await?;
    let lost = (leader + 1) % 3;
    deployment.kill(&format!("c{lost}"))?;
    fs::remove_file(deployment.control_log(lost))?;
    let status = deployment.found_again(lost)?;
    assert!(!status.success(), "founding again must be refused");
    assert!(!deployment.control_log(lost).exists(), "and must leave nothing behind");
    Ok(())
}
