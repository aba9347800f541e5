//! Guards against a limit on the streams of a link that holds requests back.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hg_link::{Reply, Request};
use support::{accept, endpoints};
use tokio::sync::Barrier;
use tokio::task::JoinSet;

/// Requests in flight on one link at the same time.
const REQUESTS: usize = 2_000;
const LIMIT: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "current_thread")]
async fn link_carries_thousands_of_requests_at_once() -> eyre::Result<()> {
    let (listener, client) = endpoints()?;
    let address = listener.local_address();
    let mut accepted = accept(listener);
    let link = client.connect(address).await?;
    let served = accepted.recv().await.expect("the link was accepted");
    // Replies only once all requests are in flight.
    let all = Arc::new(Barrier::new(REQUESTS));
    tokio::spawn(async move {
        while let Ok(mut incoming) = served.next_request().await {
            let all = Arc::clone(&all);
            tokio::spawn(async move {
                let _: Request = incoming.read().await.expect("a valid request");
                all.wait().await;
                incoming.reply(&Reply::Done).await.expect("the client waits");
            });
        }
    });
    let mut requests = JoinSet::new();
    for _ in 0..REQUESTS {
        let link = link.clone();
        requests.spawn(async move { link.request(&Request::GetLists, LIMIT).await });
    }
    for reply in requests.join_all().await {
        let reply: Reply = reply?;
        assert_eq!(reply, Reply::Done);
    }
    Ok(())
}
