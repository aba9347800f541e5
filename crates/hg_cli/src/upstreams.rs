//! `upstream` lists, drains and resumes upstreams; `status` shows the control group and the pool.

use std::time::Duration;

use clap::ArgMatches;
use hg_link::{ClusterView, UpstreamView};
use serde_json::Value;

use crate::client::Client;
use crate::exit::Exit;

/// Runs an `upstream` command.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> eyre::Result<Exit> {
    let name =
        |matches: &ArgMatches| matches.get_one::<String>("name").cloned().unwrap_or_default();
    match matches.subcommand() {
        Some(("list", _)) => list(client).await,
        Some(("drain", matches)) => {
            let path = format!("/v1/upstreams/{}/drain", name(matches));
            client.post(&path, &Value::Null, Duration::ZERO).await?.into_body::<Value>()?;
            println!("{} gets no new work", name(matches));
            Ok(Exit::Success)
        }
        Some(("resume", matches)) => {
            let path = format!("/v1/upstreams/{}/drain", name(matches));
            client.delete(&path).await?.into_body::<Value>()?;
            println!("{} gets new work again", name(matches));
            Ok(Exit::Success)
        }
        _ => Err(eyre::eyre!("clap requires a command")),
    }
}

async fn list(client: &Client) -> eyre::Result<Exit> {
    let upstreams: Vec<UpstreamView> =
        client.get("/v1/upstreams", Duration::ZERO).await?.into_body()?;
    println!(
        "{:<16} {:<12} {:<8} {:<8} {:>5} {:>5} {:>5}  jobs",
        "name", "data centre", "rack", "state", "accel", "used", "guar"
    );
    for UpstreamView { spec, state, used_accelerators, guaranteed_accelerators, jobs } in upstreams
    {
        println!(
            "{:<16} {:<12} {:<8} {state:<8} {:>5} {used_accelerators:>5} {guaranteed_accelerators:>5}  {}",
            spec.name.as_str(),
            spec.data_centre.as_str(),
            spec.rack.as_str(),
            spec.capacity.accelerators,
            jobs.len()
        );
    }
    Ok(Exit::Success)
}

/// Runs `status`.
pub(crate) async fn status(client: &Client) -> eyre::Result<Exit> {
    let view: ClusterView = client.get("/v1/status", Duration::ZERO).await?.into_body()?;
    print_status(&view);
    Ok(Exit::Success)
}

/// Prints the control group and the pool.
pub(crate) fn print_status(view: &ClusterView) {
    println!("leader {} in term {}", view.leader, view.term);
    println!(
        "log at {}, committed to {}, {} entries since the snapshot",
        view.last, view.commit, view.log_entries
    );
    for replica in &view.replicas {
        let role = if replica.voter { "votes" } else { "catches up" };
        println!(
            "replica {}#{:x} at {} {role}",
            replica.host, replica.incarnation, replica.address
        );
    }
    println!("lists at version {}", view.lists);
    println!("{} entries, {} upstreams", view.entries.len(), view.upstreams);
    println!(
        "jobs: {} waiting, {} running, {} finished",
        view.waiting, view.running, view.finished
    );
    for shortage in &view.shortages {
        println!("SHORT: {shortage}");
    }
}
