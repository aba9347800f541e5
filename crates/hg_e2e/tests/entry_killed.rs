//! Entries are killed or terminated while they carry jobs.

use std::time::Duration;

use hg_e2e::{Deployment, job, wait_until};
use rustix::process::Signal;
use tokio::task::JoinSet;

/// An entry is killed before it has the answer of its job: another entry fetches the answer, and the job
/// is not started twice.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_answer_fetched_elsewhere() -> eyre::Result<()> {
    let mut deployment = Deployment::start(2).await?;
    let reply = deployment.api(0).submit(&job("carried", false, 2_000, 0)).await?;
    assert_eq!(reply.status, 202, "{reply:?}");
    wait_until("the start", async || deployment.witness().starts("carried") == 1).await?;
    deployment.kill("e0")?;
    let mut last = None;
    wait_until("the answer", async || {
        let reply = deployment.api(1).get("/v1/jobs/carried/answer?wait_ms=5000").await;
        last = reply.ok();
        last.as_ref().is_some_and(|reply| reply.body["kind"].is_string())
    })
    .await?;
    let reply = last.expect("set when the wait ended");
    assert_eq!(reply.body["kind"], "answered", "{reply:?}");
    assert!(reply.body["body"].as_str().is_some_and(|text| text.contains("ran carried")));
    assert_eq!(deployment.witness().starts("carried"), 1);
    Ok(())
}

/// A job that still waits in the queue when its entry is killed was provably not run, and is reported as
/// `not_run` at once.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_waiting_job_not_run() -> eyre::Result<()> {
    let mut deployment = Deployment::start(1).await?;
    let mut holder = job("holder", true, 15_000, 0);
    holder["shape"]["per_task"]["accelerators"] = 8.into();
    deployment.api(1).submit(&holder).await?;
    wait_until("the holder's start", async || deployment.witness().starts("holder") == 1).await?;
    let mut waiting = job("waits", false, 0, 0);
    waiting["shape"]["per_task"]["accelerators"] = 7.into();
    let reply = deployment.api(0).submit(&waiting).await?;
    assert_eq!(reply.body["state"], "queued", "{reply:?}");
    deployment.kill("e0")?;
    let mut last = None;
    wait_until("the final answer", async || {
        last = deployment.api(1).get("/v1/jobs/waits").await.ok();
        last.as_ref().is_some_and(|reply| reply.body["kind"].is_string())
    })
    .await?;
    let reply = last.expect("set when the wait ended");
    assert_eq!(reply.body["kind"], "not_run", "{reply:?}");
    assert!(reply.retry_after.is_some(), "the caller is told when to retry");
    assert_eq!(deployment.witness().starts("waits"), 0);
    Ok(())
}

/// An entry and the control leader get `SIGTERM` under load: in-flight requests are answered.
#[tokio::test(flavor = "multi_thread")]
async fn entry_and_leader_end_gracefully() -> eyre::Result<()> {
    let mut deployment = Deployment::start(2).await?;
    let leader = deployment.leader(0).await?;
    let mut callers = JoinSet::new();
    for n in 0..12 {
        let api = deployment.api(0);
        let job = job(&format!("g{n}"), n % 2 == 0, 800, 60_000);
        callers.spawn(async move { api.submit(&job).await });
    }
    wait_until("some starts", async || deployment.witness().starts("g3") == 1).await?;
    deployment.signal("e0", Signal::TERM)?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.signal(&format!("c{leader}"), Signal::TERM)?;
    while let Some(reply) = callers.join_next().await {
        let reply = reply??;
        let refused = reply.body["code"] == "stopping";
        assert!(refused || reply.body["kind"] == "answered", "{reply:?}");
    }
    for name in ["e0".to_owned(), format!("c{leader}")] {
        let status = deployment.wait_for_exit(&name).await?;
        assert!(status.success(), "{name}: {status}\n{}", deployment.process_output(&name)?);
    }
    for n in 0..12 {
        assert!(deployment.witness().starts(&format!("g{n}")) <= 1);
    }
    Ok(())
}
