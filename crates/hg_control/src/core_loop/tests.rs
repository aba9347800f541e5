//! Replies to requests that are under way or wait when the core ends.

use std::sync::Arc;
use std::time::Duration;

use hg_link::{Reply, Request, WorkflowRequest};

use super::{CoreHandle, InputQueue};

/// How long a step waits for a request to be queued.
const QUEUED_WITHIN: Duration = Duration::from_secs(10);

fn handle() -> CoreHandle {
    CoreHandle { queue: Arc::new(InputQueue::default()) }
}

fn requested(core: &CoreHandle) -> tokio::task::JoinHandle<Reply> {
    let core = core.clone();
    tokio::spawn(async move { core.request(Request::Workflow(WorkflowRequest::GetCatalog)).await })
}

/// Guards against a change that is reported as not made although a later leader commits it: the disk of this one failed
/// after the change had been proposed.
#[tokio::test(flavor = "multi_thread")]
async fn request_when_the_core_ends_after_taking_it() {
    let core = handle();
    let reply = requested(&core);
    let taken = core.queue.take(QUEUED_WITHIN, 1);
    assert_eq!(taken.len(), 1);
    core.queue.close();
    drop(taken);
    assert_eq!(reply.await.expect("no panic"), Reply::Unsure);
}

/// What the core has not taken has certainly had no effect.
#[tokio::test(flavor = "multi_thread")]
async fn request_when_the_core_ends_before_taking_it() {
    let core = handle();
    let reply = requested(&core);
    while core.queue.lengths().iter().all(|(_, length)| *length == 0) {
        tokio::task::yield_now().await;
    }
    core.queue.close();
    assert_eq!(reply.await.expect("no panic"), Reply::Busy);
    assert_eq!(requested(&core).await.expect("no panic"), Reply::Busy, "it is closed");
}
