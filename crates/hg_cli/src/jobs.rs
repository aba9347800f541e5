//! `job` submits, shows and cancels jobs; `why` shows the decisions about a job.

use std::time::Duration;

use clap::ArgMatches;
use serde_json::{Value, json};

use crate::client::{Client, Response};
use crate::exit::{BadInput, Exit};

/// Runs a `job` command.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> eyre::Result<Exit> {
    match matches.subcommand() {
        Some(("submit", matches)) => submit(client, matches).await,
        Some(("status", matches)) => {
            let response = client.get(&format!("/v1/jobs/{}", id(matches)), Duration::ZERO).await?;
            show(&response)
        }
        Some(("answer", matches)) => {
            let wait_ms = number(matches, "wait-ms");
            let path = format!("/v1/jobs/{}/answer?wait_ms={wait_ms}", id(matches));
            show(&client.get(&path, Duration::from_millis(wait_ms)).await?)
        }
        Some(("cancel", matches)) => {
            show(&client.delete(&format!("/v1/jobs/{}", id(matches))).await?)
        }
        _ => Err(eyre::eyre!("clap requires a command")),
    }
}

/// Runs `why`.
pub(crate) async fn why(client: &Client, matches: &ArgMatches) -> eyre::Result<Exit> {
    let path = format!("/v1/jobs/{}/why", id(matches));
    let lines: Vec<String> = client.get(&path, Duration::ZERO).await?.into_body()?;
    for line in lines {
        println!("{line}");
    }
    Ok(Exit::Success)
}

async fn submit(client: &Client, matches: &ArgMatches) -> eyre::Result<Exit> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let wait_ms = number(matches, "wait-ms");
    let body = json!({
        "id": id(matches),
        "account": text("account"),
        "kind": text("kind"),
        "class": text("class"),
        "shape": {
            "tasks": number(matches, "tasks"),
            "per_task": {
                "accelerators": number(matches, "accelerators"),
                "processors": number(matches, "processors"),
                "memory_mib": number(matches, "memory-mib"),
            },
            "adjacent": matches.get_flag("adjacent"),
        },
        "idempotent": matches.get_flag("idempotent"),
        "checkpointable": matches.get_flag("checkpointable"),
        "expected_ms": number(matches, "expected-ms"),
        "deadline_ms": number(matches, "deadline-ms"),
        "body": text("body"),
        "wait_ms": wait_ms,
    });
    show(&client.post("/v1/jobs", &body, Duration::from_millis(wait_ms)).await?)
}

fn id(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("id").map_or("", String::as_str)
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

/// Prints a job in one line, then its answer. Returns the exit code for the job's state.
fn show(response: &Response) -> eyre::Result<Exit> {
    let body = &response.body;
    if body["id"].is_null() {
        let message = response.message();
        let is_bad_input = response.status.is_client_error();
        return Err(if is_bad_input { BadInput { message }.into() } else { eyre::eyre!(message) });
    }
    let field = |name: &str| body[name].as_str().unwrap_or_default();
    let (job, kind) = (field("id"), field("kind"));
    match kind {
        "answered" => println!("{job} answered: {} bytes", body["length"]),
        "" => println!("{job} {} {}", field("state"), field("waits")),
        _ => println!("{job} {}: {}", kind.replace('_', " "), field("reason")),
    }
    if let Some(retry) = body["retry_after_ms"].as_u64() {
        println!("retry after {retry} ms");
    }
    if let Value::String(answer) = &body["body"] {
        println!("{answer}");
    }
    Ok(match kind {
        "answered" => Exit::Success,
        "failed" => Exit::JobFailed,
        "not_run" => Exit::JobNotRun,
        "unknown" => Exit::JobUnknown,
        _ => Exit::JobPending,
    })
}
