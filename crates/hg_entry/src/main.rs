//! `heathergrade-entry`: the HTTP interface of heathergrade for callers, operators and upstreams.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use hg_entry::run;
use hg_settings::{EntrySettings, load, new_log};

/// Threads that serve links and HTTP requests; an entry host is small.
const WORKER_THREADS: usize = 2;
/// Exit status for invalid settings; nothing was started.
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("heathergrade-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves heathergrade's HTTP interface to callers, operators and upstreams")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings file (TOML, see docs/SETTINGS.md)"),
        )
        .arg(
            Arg::new("check")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Checks the settings, reports all mistakes, and starts nothing"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let file: &PathBuf = matches.get_one("settings").expect("clap requires it");
    let settings: EntrySettings = match load(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{}: settings are good", file.display());
        return ExitCode::SUCCESS;
    }
    let log = new_log(settings.log, settings.name.as_str());
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("heathergrade-entry: runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(settings, log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathergrade-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}
