//! `heathergrade-control`: keeps the replicated log and makes the scheduling decisions.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use hg_control::{Founder, run, run_found};
use hg_settings::{ControlSettings, SettingsError, load, new_log};

/// Threads that serve links and HTTP requests; an entry host is small.
const WORKER_THREADS: usize = 2;
/// Exit code for invalid settings; nothing was started.
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("heathergrade-control")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Keeps the replicated log of heathergrade and makes the scheduling decisions")
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
                .help("Checks the settings, lists all errors, and starts nothing"),
        )
        .arg(
            Arg::new("found")
                .long("found")
                .value_name("HOST=ADDRESS,...")
                .value_delimiter(',')
                .value_parser(value_parser!(Founder))
                .help("Founds a new group of these control hosts on an empty data folder, and exits; run it on each of them before any is started"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let file: &PathBuf = matches.get_one("settings").expect("clap requires it");
    let settings = match read_settings(file) {
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
    let founders: Vec<Founder> = matches.get_many("found").into_iter().flatten().cloned().collect();
    let log = new_log(settings.log, settings.host.as_str());
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("heathergrade-control: runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async {
        if founders.is_empty() {
            return run(settings, log).await;
        }
        run_found(&settings, &founders, &log).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathergrade-control: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(file: &std::path::Path) -> Result<ControlSettings, SettingsError> {
    let settings: ControlSettings = load(file)?;
    settings.check(file)?;
    Ok(settings)
}
