//! Operators replace the same version of the lists concurrently, and each resends its request: exactly
//! one write takes effect, and a resent request gets the same result.

use hg_e2e::{Deployment, sample_lists, wait_until};
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn operators_race_one_wins() -> eyre::Result<()> {
    let deployment = Deployment::start(2).await?;
    let mut writers = JoinSet::new();
    for n in 0..6_u32 {
        let api = deployment.api(n as usize % 3);
        writers.spawn(async move {
            let op = format!("race-{n}");
            let reply = api.put_lists(&op, 1, &sample_lists(n + 1)).await?;
            // Resend, as if the response had been lost.
            let again = api.put_lists(&op, 1, &sample_lists(n + 1)).await?;
            eyre::Ok((op, reply, again))
        });
    }
    let mut winners = Vec::new();
    while let Some(written) = writers.join_next().await {
        let (op, reply, again) = written??;
        assert_eq!(reply.status, again.status, "{op}: {reply:?} then {again:?}");
        match reply.status {
            200 => winners.push(op),
            409 => assert_eq!(reply.body["code"], "list_conflict"),
            _ => panic!("{op}: {reply:?}"),
        }
    }
    assert_eq!(winners.len(), 1, "{winners:?}");
    // A late write is refused with the name of the winning operation; all entries get the same version.
    let late = deployment.api(0).put_lists("late", 1, &sample_lists(1)).await?;
    assert!(
        late.body["message"].as_str().is_some_and(|text| text.contains(&winners[0])),
        "{late:?}"
    );
    for n in 0..3 {
        wait_until("the version in force", async || {
            let lists = deployment.api(n).get("/v1/lists").await;
            lists.is_ok_and(|reply| reply.body["version"] == 2)
        })
        .await?;
    }
    Ok(())
}
