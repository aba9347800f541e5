//! `drain`: starts and ends the drain of a data centre.

use clap::ArgMatches;
use hg_link::{ControlClient, Reply, Request, WorkflowReply, WorkflowRequest};
use hg_model::DataCentreName;

use crate::control::{REQUEST_TIMEOUT, client};
use crate::exit::Exit;

/// Runs a `drain` command.
pub(crate) async fn run(matches: &ArgMatches) -> eyre::Result<Exit> {
    let Some((change, matches)) = matches.subcommand() else {
        return Err(eyre::eyre!("clap requires a command"));
    };
    let name = matches.get_one::<String>("data-centre").cloned().unwrap_or_default();
    let data_centre = DataCentreName::new(&name)?;
    let req = match change {
        "start" => WorkflowRequest::StartDrain(data_centre),
        _ => WorkflowRequest::EndDrain(data_centre),
    };
    let client = client(matches)?;
    let reply = client.request(&Request::Workflow(req), REQUEST_TIMEOUT).await;
    client.close().await;
    match reply? {
        Reply::Workflow(WorkflowReply::Stored) => Ok(Exit::Success),
        Reply::Workflow(WorkflowReply::Unknown) => {
            Err(eyre::eyre!("{name}: unknown, or this deployment drains no data centres"))
        }
        Reply::Workflow(WorkflowReply::Invalid(cause)) => Err(eyre::eyre!("{name}: {cause}")),
        other => Err(eyre::eyre!("unexpected reply: {other:?}")),
    }
}

/// Prints the drains in force, with their age and what still runs there.
pub(crate) async fn print_drains(client: &ControlClient) {
    let req = Request::Workflow(WorkflowRequest::Drains);
    match client.request(&req, REQUEST_TIMEOUT).await {
        Ok(Reply::Workflow(WorkflowReply::Drains(drains))) => {
            for drain in drains {
                println!(
                    "data centre {} is drained since {} s, {} runs left",
                    drain.data_centre,
                    drain.age_ms / 1_000,
                    drain.runs_left
                );
            }
        }
        // A leader of an earlier version knows no drains.
        Ok(other) => println!("drains: unexpected reply: {other:?}"),
        Err(error) => println!("drains: {error}"),
    }
}
