//! `lists`: checks, prints and replaces the lists of plans and client accounts.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use eyre::WrapErr as _;
use hg_model::{Account, ListVersion, Lists, OperationId, Plan};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::client::{Client, Response};
use crate::exit::{BadInput, Exit};

/// The content of the file with the plans.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlansFile {
    #[serde(default, rename = "plan")]
    plans: Vec<Plan>,
}

/// The content of the file with the client accounts.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct AccountsFile {
    #[serde(default, rename = "account")]
    accounts: Vec<Account>,
}

/// The response to a request for the lists.
#[derive(Debug, Deserialize)]
struct ListsBody {
    version: ListVersion,
    lists: Lists,
}

/// The response to a successful write of the lists.
#[derive(Debug, Deserialize)]
struct VersionBody {
    version: ListVersion,
}

/// Runs a `lists` command.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> eyre::Result<Exit> {
    match matches.subcommand() {
        Some(("check", matches)) => check(client, matches).await,
        Some(("get", _)) => get(client).await,
        Some(("put", matches)) => put(client, matches).await,
        _ => Err(eyre::eyre!("clap requires a command")),
    }
}

async fn check(client: &Client, matches: &ArgMatches) -> eyre::Result<Exit> {
    let lists = read_lists(matches)?;
    let response = client.post("/v1/lists/check", &json!(lists), Duration::ZERO).await?;
    fail_if_rejected(&response)?;
    response.into_body::<serde_json::Value>()?;
    println!("the lists are valid");
    Ok(Exit::Success)
}

async fn get(client: &Client) -> eyre::Result<Exit> {
    let ListsBody { version, lists } =
        client.get("/v1/lists", Duration::ZERO).await?.into_body()?;
    println!("# version {version}");
    print!("{}", toml::to_string(&PlansFile { plans: lists.plans })?);
    print!("{}", toml::to_string(&AccountsFile { accounts: lists.accounts })?);
    Ok(Exit::Success)
}

async fn put(client: &Client, matches: &ArgMatches) -> eyre::Result<Exit> {
    let lists = read_lists(matches)?;
    let expect: u64 = matches.get_one("expect").copied().unwrap_or_default();
    let operation = match matches.get_one::<String>("operation") {
        Some(text) => OperationId::new(text).map_err(|e| BadInput { message: e.to_string() })?,
        None => OperationId::new(format!("op-{:x}", getrandom::u64().unwrap_or_default()))?,
    };
    let body = json!({ "operation": operation, "expect": expect, "lists": lists });
    let response = client.put("/v1/lists", &body).await;
    let response = response
        .wrap_err_with(|| format!("retry with --operation {operation} to learn the outcome"))?;
    fail_if_rejected(&response)?;
    if response.status == StatusCode::CONFLICT {
        eprintln!("heathergrade: {}", response.message());
        return Ok(Exit::Conflict);
    }
    let VersionBody { version } = response.into_body()?;
    println!("lists are at version {version}");
    Ok(Exit::Success)
}

/// Fails if the entry rejected the lists as invalid. A conflict with a concurrent write is no such
/// rejection.
fn fail_if_rejected(response: &Response) -> Result<(), BadInput> {
    let is_rejected = response.status.is_client_error() && response.status != StatusCode::CONFLICT;
    if is_rejected { Err(BadInput { message: response.message() }) } else { Ok(()) }
}

/// Reads both files and makes the checks that need no information about the pool.
fn read_lists(matches: &ArgMatches) -> eyre::Result<Lists> {
    let path = |name: &str| matches.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    let plans: PlansFile = read_file(&path("plans"))?;
    let accounts: AccountsFile = read_file(&path("accounts"))?;
    let lists = Lists { plans: plans.plans, accounts: accounts.accounts };
    let faults = lists.faults();
    if faults.is_empty() {
        return Ok(lists);
    }
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    Err(BadInput { message: lines.join("\n") }.into())
}

fn read_file<T: serde::de::DeserializeOwned>(path: &Path) -> eyre::Result<T> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    let parsed = toml::from_str(&text);
    parsed.map_err(|e| BadInput { message: format!("{}: {e}", path.display()) }.into())
}
