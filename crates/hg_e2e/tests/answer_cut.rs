//! An upstream cuts its answers in the middle: no caller ever gets such an answer.

use hg_e2e::{Deployment, job};

#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_is_never_delivered() -> eyre::Result<()> {
    let mut deployment = Deployment::start(1).await?;
    deployment.kill("u0")?;
    deployment.start_upstream(1, &["--cut-answers"])?;
    deployment.wait_for_open(1).await?;
    let reply = deployment.api(0).submit(&job("cut", false, 0, 60_000)).await?;
    assert_eq!(reply.body["kind"], "unknown", "{reply:?}");
    assert!(reply.body["body"].is_null(), "{reply:?}");
    assert_eq!(deployment.witness().starts("cut"), 1, "it is not sent again");
    Ok(())
}
