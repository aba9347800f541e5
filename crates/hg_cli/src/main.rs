//! `heathergrade`: the command-line program for operators.

mod arguments;
mod client;
mod control;
mod day_report;
mod drain;
mod exit;
mod explain;
mod job_chain;
mod jobs;
mod keys;
mod lists;
mod log_line;
mod upstreams;

use clap::ArgMatches;

use crate::client::Client;
use crate::exit::Exit;

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let matches = arguments::command().get_matches();
    match run(&matches).await {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("heathergrade: {error:#}");
            exit::of_error(&error).into()
        }
    }
}

async fn run(matches: &ArgMatches) -> eyre::Result<Exit> {
    let entries = matches.get_many("entry").into_iter().flatten().copied().collect();
    let client = Client::new(entries);
    match matches.subcommand() {
        Some(("lists", matches)) => lists::run(&client, matches).await,
        Some(("job", matches)) => jobs::run(&client, matches).await,
        Some(("why", matches)) => jobs::why(&client, matches).await,
        Some(("upstream", matches)) => upstreams::run(&client, matches).await,
        Some(("status", _)) => upstreams::status(&client).await,
        Some(("keys", matches)) => keys::run(matches),
        Some(("control", matches)) => control::run(matches).await,
        Some(("drain", matches)) => drain::run(matches).await,
        Some(("explain", matches)) => explain::run(matches),
        _ => Err(eyre::eyre!("clap requires a command")),
    }
}
