//! Guards against links that take memory for every stream that they might carry, so that a host with a link to each of
//! hundreds of others runs out of memory at rest.

mod support;

use peak_alloc::PeakAlloc;
use support::{accept, endpoints};

#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;

/// Number of links; a control host has one for each other process.
const LINKS: usize = 50;
/// Most bytes for both ends of a link at rest, keys and buffers included: 300 of them are a third of a control host's 64 MB.
const LINK_MAX_BYTES: usize = 140_000;

#[tokio::test(flavor = "current_thread")]
async fn links_at_rest_take_little_memory() -> eyre::Result<()> {
    let (listener, client) = endpoints()?;
    let address = listener.local_address();
    let mut accepted = accept(listener);
    let mut links = Vec::new();
    let mut before = 0;
    for number in 0..=LINKS {
        links.push((client.connect(address).await?, accepted.recv().await));
        // The first link also takes what the endpoints need once.
        if number == 0 {
            before = MEMORY.current_usage();
        }
    }
    let each = (MEMORY.current_usage() - before) / LINKS;
    assert!(each <= LINK_MAX_BYTES, "{each} bytes for each link");
    drop(links);
    Ok(())
}
