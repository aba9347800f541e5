//! The status of the control group that the command line shows to operators.

use hg_e2e::Deployment;

#[tokio::test(flavor = "multi_thread")]
async fn control_status_goes_on_when_the_leader_is_lost() -> eyre::Result<()> {
    let mut deployment = Deployment::start(1).await?;
    let before = deployment.control_status()?;
    assert!(before.contains("leader c"), "{before}");
    assert!(before.contains("3 entries, 1 upstreams"), "{before}");
    assert!(before.contains("catalog: none yet"), "{before}");
    let leader = deployment.leader(0).await?;
    deployment.kill(&format!("c{leader}"))?;
    let after = deployment.control_status()?;
    assert!(after.contains("leader c"), "{after}");
    assert!(!after.contains(&format!("leader c{leader} ")), "{after}");
    Ok(())
}
