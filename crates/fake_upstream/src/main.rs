//! `fake-upstream`: a fake upstream for tests and the demo.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fake_upstream::{Options, run};
use hg_model::{DataCentreName, HostName, RackName, Resources, UpstreamName};

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let text = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default)
    };
    Command::new("fake-upstream")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A fake upstream for tests and the demo")
        .arg(Arg::new("name").long("name").required(true))
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("entries")
                .long("entries")
                .required(true)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(text("rack", "r1"))
        .arg(text("data-centre", "dc1"))
        .arg(number("accelerators", "8"))
        .arg(number("processors", "32"))
        .arg(number("memory-mib", "131072"))
        .arg(number("slots", "8"))
        .arg(number("beat-ms", "200"))
        .arg(Arg::new("witness").long("witness").value_parser(value_parser!(PathBuf)))
        .arg(Arg::new("fail-all").long("fail-all").action(ArgAction::SetTrue))
        .arg(Arg::new("cut-answers").long("cut-answers").action(ArgAction::SetTrue))
}

fn options(matches: &ArgMatches) -> eyre::Result<Options> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let small = |name: &str| u32::try_from(number(name)).unwrap_or(u32::MAX);
    let listen = *matches.get_one("listen").expect("the argument has a default");
    Ok(Options {
        name: UpstreamName::new(text("name"))?,
        listen,
        host: HostName::new(text("name"))?,
        rack: RackName::new(text("rack"))?,
        data_centre: DataCentreName::new(text("data-centre"))?,
        capacity: Resources::new(small("accelerators"), small("processors"), number("memory-mib")),
        slots: small("slots"),
        connections: 60,
        entries: matches.get_many("entries").into_iter().flatten().copied().collect(),
        heartbeat_ms: number("beat-ms"),
        witness: matches.get_one("witness").cloned(),
        fail_all: matches.get_flag("fail-all"),
        cut_answers: matches.get_flag("cut-answers"),
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match options(&matches) {
        Ok(options) => run(options).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fake-upstream: {error:#}");
            ExitCode::FAILURE
        }
    }
}
