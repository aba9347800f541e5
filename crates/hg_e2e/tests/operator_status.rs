//! The status of the control group that the command line shows to operators.

use hg_e2e::{Deployment, wait_until};

/// Waits until the status has all of these parts: a leader that has just been elected does not know the others yet.
async fn wait_for_status(deployment: &Deployment, parts: &[&str]) -> eyre::Result<()> {
    let has_all = |status: String| parts.iter().all(|part| status.contains(part));
    wait_until("the status", async || deployment.control_status().is_ok_and(has_all)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn control_status_goes_on_when_the_leader_is_lost() -> eyre::Result<()> {
    let mut deployment = Deployment::start(1).await?;
    let parts = ["leader c", "3 entries, 1 upstreams", "catalog: none yet"];
    wait_for_status(&deployment, &parts).await?;
    let leader = deployment.leader(0).await?;
    deployment.kill(&format!("c{leader}"))?;
    let after = deployment.control_status()?;
    assert!(after.contains("leader c"), "{after}");
    assert!(!after.contains(&format!("leader c{leader} ")), "{after}");
    Ok(())
}
