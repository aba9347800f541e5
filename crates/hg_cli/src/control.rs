//! `control`: queries the control hosts directly over links, without an entry. It works wherever
//! the control hosts run.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use eyre::WrapErr as _;
use hg_link::{
    ControlClient, KeyFolder, LinkEndpoint, Reply, Request, WorkflowReply, WorkflowRequest,
};
use hg_model::EntryName;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc;

use crate::drain::print_drains;
use crate::exit::Exit;
use crate::upstreams::print_status;

/// Time limit of a request to the leader, long enough for several elections on a busy machine.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The entry name that this process gives to the control hosts. They send it no directives.
const ENTRY_NAME: &str = "operator";
/// The capacity of the channel for directives.
const DIRECTIVES_MAX: usize = 1;

/// Runs a `control` command.
pub(crate) async fn run(matches: &ArgMatches) -> eyre::Result<Exit> {
    let Some(("status", matches)) = matches.subcommand() else {
        return Err(eyre::eyre!("clap requires a command"));
    };
    let client = client(matches)?;
    let status = status(&client).await;
    client.close().await;
    status
}

/// A client of the control hosts that the arguments name.
pub(crate) fn client(matches: &ArgMatches) -> eyre::Result<ControlClient> {
    let hosts: Vec<SocketAddr> =
        matches.get_many("control").into_iter().flatten().copied().collect();
    let keys: PathBuf = matches.get_one("keys").cloned().unwrap_or_default();
    let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let endpoint = LinkEndpoint::connect_only(any, &KeyFolder::new(keys)).wrap_err("keys")?;
    let (directives, _) = mpsc::channel(DIRECTIVES_MAX);
    let log = Logger::root(Discard, o!());
    Ok(ControlClient::new(endpoint, hosts, EntryName::new(ENTRY_NAME)?, directives, log))
}

async fn status(client: &ControlClient) -> eyre::Result<Exit> {
    match client.request(&Request::Status, REQUEST_TIMEOUT).await? {
        Reply::Status(view) => print_status(&view),
        other => return Err(eyre::eyre!("unexpected reply: {other:?}")),
    }
    let ping = Request::Workflow(WorkflowRequest::Ping);
    if let Reply::Workflow(WorkflowReply::Ready { catalog, .. }) =
        client.request(&ping, REQUEST_TIMEOUT).await?
    {
        let version = catalog.map_or_else(|| "none yet".to_owned(), |version| version.to_string());
        println!("catalog: {version}");
    }
    print_drains(client).await;
    Ok(Exit::Success)
}
