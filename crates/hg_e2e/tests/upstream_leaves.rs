//! Two seconds after `SIGTERM` a leaving upstream gets no new work. When an upstream is killed, the
//! guarantees given for its jobs hold.

use std::time::Duration;

use hg_e2e::{Deployment, job, wait_until};
use rustix::process::Signal;

#[tokio::test(flavor = "multi_thread")]
async fn upstream_leaving_gets_nothing_new() -> eyre::Result<()> {
    let mut deployment = Deployment::start(2).await?;
    // Long jobs on both upstreams keep the leaving one running.
    for n in 0..4 {
        let mut long = job(&format!("long-{n}"), true, 6_000, 0);
        long["shape"]["per_task"]["accelerators"] = 3.into();
        deployment.api(n % 3).submit(&long).await?;
    }
    wait_until("the starts", async || {
        (0..4).all(|n| deployment.witness().starts(&format!("long-{n}")) == 1)
    })
    .await?;
    deployment.signal("u0", Signal::TERM)?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = deployment.witness().starts_on("u0");
    for n in 0..10 {
        let reply =
            deployment.api(n % 3).submit(&job(&format!("new-{n}"), true, 0, 60_000)).await?;
        assert_eq!(reply.body["kind"], "answered", "{reply:?}");
    }
    assert_eq!(deployment.witness().starts_on("u0"), before, "a leaving upstream got new work");
    // The jobs that ran there are finished, not stopped.
    for n in 0..4 {
        let reply =
            deployment.api(0).get(&format!("/v1/jobs/long-{n}/answer?wait_ms=30000")).await?;
        assert_eq!(reply.body["kind"], "answered", "{reply:?}");
        assert_eq!(deployment.witness().starts(&format!("long-{n}")), 1);
    }
    assert!(deployment.wait_for_exit("u0").await?.success());
    Ok(())
}

/// An upstream is killed while it runs tasks: an idempotent job is started again elsewhere; the outcome
/// of a job that is not idempotent is reported as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_killed_under_tasks() -> eyre::Result<()> {
    let mut deployment = Deployment::start(1).await?;
    deployment.api(0).submit(&job("again", true, 1_500, 0)).await?;
    deployment.api(1).submit(&job("once", false, 1_500, 0)).await?;
    let both_started =
        async || ["again", "once"].iter().all(|id| deployment.witness().starts(id) == 1);
    wait_until("both starts", both_started).await?;
    deployment.kill("u0")?;
    deployment.start_upstream(1, &[])?;
    let again = deployment.api(2).get("/v1/jobs/again/answer?wait_ms=60000").await?;
    assert_eq!(again.body["kind"], "answered", "{again:?}");
    let once = deployment.api(2).get("/v1/jobs/once/answer?wait_ms=60000").await?;
    assert_eq!(once.body["kind"], "unknown", "{once:?}");
    assert_eq!(deployment.witness().starts("once"), 1);
    assert_eq!(deployment.witness().starts("again"), 2);
    Ok(())
}
