//! The control leader is killed while jobs run: each job is answered and started exactly once.

use hg_e2e::{Deployment, job};
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_mid_request() -> eyre::Result<()> {
    let mut deployment = Deployment::start(2).await?;
    let leader = deployment.leader(0).await?;
    let mut callers = JoinSet::new();
    for n in 0..12 {
        let api = deployment.api(n % 3);
        // Jobs with an odd number are not idempotent.
        let job = job(&format!("j{n}"), n % 2 == 0, 700, 60_000);
        callers.spawn(async move {
            loop {
                let reply = api.submit(&job).await?;
                // A reply without an outcome asks for a retry: resend the same id.
                if reply.body["kind"].is_string() {
                    return eyre::Ok((n, reply));
                }
            }
        });
    }
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    deployment.kill(&format!("c{leader}"))?;
    while let Some(called) = callers.join_next().await {
        let (n, reply) = called??;
        assert_eq!(reply.body["kind"], "answered", "j{n}: {reply:?}");
        assert_eq!(deployment.witness().starts(&format!("j{n}")), 1, "j{n} must be started once");
    }
    Ok(())
}
