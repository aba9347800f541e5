//! The control leader is paused for longer than its lease, and another one takes over. When it resumes,
//! it must not make decisions under its old leadership.

use hg_e2e::{Deployment, job, wait_until};
use rustix::process::Signal;

#[tokio::test(flavor = "multi_thread")]
async fn leader_frozen_past_lease_and_thawed() -> eyre::Result<()> {
    let deployment = Deployment::start(2).await?;
    let leader = deployment.leader(0).await?;
    deployment.signal(&format!("c{leader}"), Signal::STOP)?;
    wait_until("another leader", async || {
        deployment.status(1).await.is_ok_and(|status| {
            status["leader"].as_str().is_some_and(|name| name != format!("c{leader}"))
        })
    })
    .await?;
    let reply = deployment.api(1).submit(&job("during", false, 0, 60_000)).await?;
    assert_eq!(reply.body["kind"], "answered", "{reply:?}");
    deployment.signal(&format!("c{leader}"), Signal::CONT)?;
    for n in 0..6 {
        let id = format!("after-{n}");
        let reply = deployment.api(n % 3).submit(&job(&id, false, 0, 60_000)).await?;
        assert_eq!(reply.body["kind"], "answered", "{reply:?}");
        assert_eq!(deployment.witness().starts(&id), 1);
    }
    // The old leader follows the new one; the job of the meantime is known and was started once.
    let reply = deployment.api(0).get("/v1/jobs/during").await?;
    assert_eq!(reply.body["kind"], "answered", "{reply:?}");
    assert_eq!(deployment.witness().starts("during"), 1);
    Ok(())
}
