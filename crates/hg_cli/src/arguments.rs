//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The commands and arguments of `heathergrade`.
pub(crate) fn command() -> Command {
    Command::new("heathergrade")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Edits the lists, submits and cancels jobs, drains upstreams and shows their state")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS,...")
                .global(true)
                .value_delimiter(',')
                .default_value("127.0.0.1:7080")
                .value_parser(value_parser!(SocketAddr))
                .help("Addresses of entries, tried in order until one can be reached"),
        )
        .subcommand(lists())
        .subcommand(job())
        .subcommand(
            Command::new("why")
                .about("Shows the decisions about a job and what it waits for")
                .arg(id()),
        )
        .subcommand(upstream())
        .subcommand(Command::new("status").about("Shows the control group and the pool"))
        .subcommand(keys())
        .subcommand(control())
        .subcommand(drain())
        .subcommand(
            Command::new("explain")
                .about("Reads logs of all processes from standard input and shows a job's history")
                .arg(id().required(false).required_unless_present("day").conflicts_with("day"))
                .arg(
                    Arg::new("day").long("day").action(ArgAction::SetTrue).help(
                        "Sums all jobs up instead: which were late, and where their time went",
                    ),
                ),
        )
}

fn id() -> Arg {
    Arg::new("id").value_name("JOB").required(true).help("The job's id")
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn lists() -> Command {
    let plans = || file("plans", "The list of plans (TOML)");
    let accounts = || file("accounts", "The list of client accounts (TOML)");
    Command::new("lists")
        .about("Reads and writes the two lists")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks both lists against the pool, without changing anything")
                .arg(plans())
                .arg(accounts()),
        )
        .subcommand(Command::new("get").about("Prints both lists and their version"))
        .subcommand(
            Command::new("put")
                .about("Replaces both lists, if they still have the expected version")
                .arg(plans())
                .arg(accounts())
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("VERSION")
                        .required(true)
                        .value_parser(value_parser!(u64))
                        .help("The version that you edited; 0 before the first write"),
                )
                .arg(
                    Arg::new("operation")
                        .long("operation")
                        .value_name("ID")
                        .help("Id of the write; give the same id again to retry a write with an unknown outcome"),
                ),
        )
}

fn job() -> Command {
    Command::new("job")
        .about("Submits, shows and cancels jobs")
        .subcommand_required(true)
        .subcommand(submit())
        .subcommand(Command::new("status").about("Shows a job").arg(id()))
        .subcommand(
            Command::new("answer")
                .about("Waits for a job's answer")
                .arg(id())
                .arg(wait_ms("60000")),
        )
        .subcommand(Command::new("cancel").about("Cancels a job").arg(id()))
}

fn wait_ms(default: &'static str) -> Arg {
    number("wait-ms", default, "How long to wait for the answer, in milliseconds")
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a job; submitting the same id again returns the same job")
        .arg(id())
        .arg(Arg::new("account").long("account").required(true).help("The client account"))
        .arg(Arg::new("kind").long("kind").required(true).help("The kind of work"))
        .arg(
            Arg::new("class")
                .long("class")
                .default_value("normal")
                .value_parser(["urgent", "normal", "patient"])
                .help("How soon the job should start"),
        )
        .arg(number("tasks", "1", "Number of tasks that run at the same time"))
        .arg(number("accelerators", "0", "Accelerators of each task"))
        .arg(number("processors", "1", "Processors of each task"))
        .arg(number("memory-mib", "1024", "Memory of each task, in MiB"))
        .arg(flag("adjacent", "All tasks must run in one rack"))
        .arg(flag("idempotent", "Running the job more than once does no harm"))
        .arg(flag("checkpointable", "The job can save a checkpoint of its progress"))
        .arg(number("expected-ms", "0", "The expected run time, in milliseconds; 0 if unknown"))
        .arg(number(
            "deadline-ms",
            "60000",
            "How long the job may wait before it starts, in milliseconds",
        ))
        .arg(Arg::new("body").long("body").default_value("").help("The request's body"))
        .arg(wait_ms("0"))
}

fn upstream() -> Command {
    let name =
        || Arg::new("name").value_name("UPSTREAM").required(true).help("The upstream's name");
    Command::new("upstream")
        .about("Lists, drains and resumes upstreams")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists all upstreams"))
        .subcommand(
            Command::new("drain").about("Drains an upstream: it gets no new work").arg(name()),
        )
        .subcommand(
            Command::new("resume")
                .about("Resumes a drained upstream: it gets new work again")
                .arg(name()),
        )
}

fn keys() -> Command {
    Command::new("keys").about("Creates keys").subcommand_required(true).subcommand(
        Command::new("new")
            .about(
                "Creates the certificate authority, if there is none yet, and a key for each host",
            )
            .arg(
                Arg::new("folder")
                    .value_name("FOLDER")
                    .required(true)
                    .value_parser(value_parser!(PathBuf))
                    .help("Folder of the authority's key; each host gets a folder below it"),
            )
            .arg(
                Arg::new("host")
                    .value_name("HOST")
                    .required(true)
                    .num_args(1..)
                    .help("Names of the hosts; copy to each host its own folder and nothing else"),
            ),
    )
}

fn control() -> Command {
    Command::new("control")
        .about("Queries the control hosts directly over links, without an entry")
        .subcommand_required(true)
        .subcommand(
            Command::new("status")
                .about("Shows the control group, the pool and the catalog in force")
                .args(control_hosts()),
        )
}

/// Where the control hosts are, and the key for links to them.
fn control_hosts() -> [Arg; 2] {
    [
        Arg::new("control")
            .long("control")
            .value_name("ADDRESS,...")
            .required(true)
            .value_delimiter(',')
            .value_parser(value_parser!(SocketAddr))
            .help("Link addresses of some control hosts"),
        Arg::new("keys")
            .long("keys")
            .value_name("FOLDER")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("A folder with a key of this deployment"),
    ]
}

fn drain() -> Command {
    let data_centre = || {
        Arg::new("data-centre")
            .value_name("DATA_CENTRE")
            .required(true)
            .help("The data centre's name")
    };
    Command::new("drain")
        .about("Drains a data centre of workflows; asks the control hosts directly over links")
        .subcommand_required(true)
        .subcommand(
            Command::new("start")
                .about("Starts a drain: nothing starts there any more, and what runs there moves")
                .arg(data_centre())
                .args(control_hosts()),
        )
        .subcommand(
            Command::new("end")
                .about("Ends a drain: the data centre gets work again")
                .arg(data_centre())
                .args(control_hosts()),
        )
}
