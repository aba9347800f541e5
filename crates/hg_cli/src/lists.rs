//! `lists`.

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

/// The file with the plans.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlansFile {
    #[serde(default, rename = "plan")]
    plans: Vec<Plan>,
}

/// The file with the client accounts.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct AccountsFile {
    #[serde(default, rename = "account")]
    accounts: Vec<Account>,
}

#[derive(Debug, Deserialize)]
struct ListsBody {
    version: ListVersion,
    lists: Lists,
}

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
    let lists = read(matches)?;
    let response = client.post("/v1/lists/check", &json!(lists), Duration::ZERO).await?;
    refuse_faulty(&response)?;
    response.into_body::<serde_json::Value>()?;
    println!("the lists are good");
    Ok(Exit::Good)
}

async fn get(client: &Client) -> eyre::Result<Exit> {
    let ListsBody { version, lists } =
        client.get("/v1/lists", Duration::ZERO).await?.into_body()?;
    println!("# version {version}");
    print!("{}", toml::to_string(&PlansFile { plans: lists.plans })?);
    print!("{}", toml::to_string(&AccountsFile { accounts: lists.accounts })?);
    Ok(Exit::Good)
}

async fn put(client: &Client, matches: &ArgMatches) -> eyre::Result<Exit> {
    let lists = read(matches)?;
    let expect: u64 = matches.get_one("expect").copied().unwrap_or_default();
    let operation = match matches.get_one::<String>("operation") {
        Some(text) => OperationId::new(text).map_err(|e| BadInput { message: e.to_string() })?,
        None => OperationId::new(format!("op-{:x}", getrandom::u64().unwrap_or_default()))?,
    };
    let body = json!({ "operation": operation, "expect": expect, "lists": lists });
    let response = client.put("/v1/lists", &body).await;
    let response = response.wrap_err_with(|| {
        format!("resend with --operation {operation} to learn what became of it")
    })?;
    refuse_faulty(&response)?;
    if response.status == StatusCode::CONFLICT {
        eprintln!("heathergrade: {}", response.message());
        return Ok(Exit::Conflict);
    }
    let VersionBody { version } = response.into_body()?;
    println!("lists are at version {version}");
    Ok(Exit::Good)
}

fn refuse_faulty(response: &Response) -> Result<(), BadInput> {
    let is_faulty = response.status.is_client_error() && response.status != StatusCode::CONFLICT;
    if is_faulty { Err(BadInput { message: response.message() }) } else { Ok(()) }
}

/// Reads both files and checks what can be checked without the pool.
fn read(matches: &ArgMatches) -> eyre::Result<Lists> {
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
