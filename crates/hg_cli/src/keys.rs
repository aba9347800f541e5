//! `keys`: creates the certificate authority and the keys of hosts.

use std::path::PathBuf;

use clap::ArgMatches;
use hg_link::KeyFolder;
use hg_model::HostName;

use crate::exit::{BadInput, Exit};

/// Runs a `keys` command.
pub(crate) fn run(matches: &ArgMatches) -> eyre::Result<Exit> {
    let Some(("new", matches)) = matches.subcommand() else {
        return Err(eyre::eyre!("clap requires a command"));
    };
    let folder: PathBuf = matches.get_one("folder").cloned().unwrap_or_default();
    let mut hosts = Vec::new();
    for text in matches.get_many::<String>("host").into_iter().flatten() {
        hosts.push(HostName::new(text).map_err(|e| BadInput { message: e.to_string() })?);
    }
    KeyFolder::new(&folder).create(&hosts)?;
    for host in &hosts {
        println!("{}", folder.join(host.as_str()).display());
    }
    Ok(Exit::Success)
}
