//! An upstream truncates its answers: no caller ever gets a truncated answer.

use hg_e2e::{Deployment, job};

#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_is_never_delivered() -> eyre::Result<()> {
    let mut deployment = Deployment::start(1).await?;
    deployment.kill("u0")?;
    deployment.start_upstream(1, &["--cut-answers"])?;
    deployment.wait_for_open_upstreams(1).await?;
    let reply = deployment.api(0).submit(&job("cut", false, 0, 60_000)).await?;
    assert_eq!(reply.body["kind"], "unknown", "{reply:?}");
    assert!(reply.body["body"].is_null(), "{reply:?}");
    assert_eq!(
        deployment.witness().starts("cut"),
        1,
        "a job that is not idempotent is not started again"
    );
    Ok(())
}
