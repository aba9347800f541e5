//! A deployment of real processes on the loopback interface.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use eyre::{WrapErr as _, ensure, eyre};
use hg_link::KeyFolder;
use hg_model::HostName;
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, setrlimit};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::{Api, Witness};

/// Limit of [`wait_until`]; generous, since test machines are slow.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Pause between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of control processes, and also of entry processes.
const HOSTS: usize = 3;

/// A deployment: three control processes, three entry processes and some fake upstreams.
///
/// Processes are named `c0` to `c2` (control), `e0` to `e2` (entry) and `u0`, `u1`, ... (upstreams).
/// Dropping it kills all processes. If the test panics or `HG_KEEP` is set, the files are kept.
#[derive(Debug)]
pub struct Deployment {
    dir: TempDir,
    bin: PathBuf,
    /// Where the control processes accept connections of other processes (UDP).
    control_links: Vec<SocketAddr>,
    /// Where the control processes serve HTTP.
    control_http: Vec<SocketAddr>,
    entry_http: Vec<SocketAddr>,
    /// Files that each process may have open; `None` if the limit is that of the test.
    files_max: Option<u64>,
    children: BTreeMap<String, Child>,
}

/// Polls a condition until it holds. `what` names it in the error.
///
/// # Errors
///
/// If it does not hold in time.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> eyre::Result<()> {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !holds().await {
        ensure!(Instant::now() < deadline, "timed out after {WAIT_LIMIT:?} waiting for {what}");
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

impl Deployment {
    /// Starts all processes, waits until the upstreams are open, and puts the first lists in force.
    ///
    /// # Errors
    ///
    /// If a process cannot be started, or the upstreams or the lists are not accepted.
    pub async fn start(upstreams: usize) -> eyre::Result<Self> {
        Self::start_with(upstreams, "", None).await
    }

    /// The same with further lines in the settings of the entries, and with a limit on the files that each process may open.
    ///
    /// # Errors
    ///
    /// As [`Deployment::start`].
    pub async fn start_with(
        upstreams: usize,
        entry_settings: &str,
        files_max: Option<u64>,
    ) -> eyre::Result<Self> {
        let mut deployment = Self::prepare(entry_settings)?;
        deployment.files_max = files_max;
        for n in 0..HOSTS {
            deployment.start_control(n)?;
            deployment.start_entry(n)?;
        }
        for n in 0..upstreams {
            deployment.start_upstream(n, &[])?;
        }
        deployment.wait_for_open_upstreams(upstreams).await?;
        let lists = deployment.api(0).put_lists("first", 0, &sample_lists(1)).await?;
        ensure!(lists.status == 200, "lists: {lists:?}");
        Ok(deployment)
    }

    /// Creates keys and settings files and founds the control group; starts no process.
    fn prepare(entry_settings: &str) -> eyre::Result<Self> {
        let dir = tempfile::tempdir()?;
        let exe = std::env::current_exe()?;
        let bin = exe
            .ancestors()
            .nth(2)
            .ok_or_else(|| eyre!("the test runs outside a target folder"))?
            .to_owned();
        ensure!(
            bin.join("heathergrade-control").exists(),
            "build the binaries first: cargo build --workspace --bins"
        );
        let control_links = free_ports(HOSTS, UdpSocket::bind);
        let mut control_http = free_ports(HOSTS * 2, TcpListener::bind);
        let entry_http = control_http.split_off(HOSTS);
        let deployment = Self {
            dir,
            bin,
            control_links,
            control_http,
            entry_http,
            files_max: None,
            children: BTreeMap::new(),
        };
        deployment.write_files(entry_settings)?;
        Ok(deployment)
    }

    fn write_files(&self, entry_settings: &str) -> eyre::Result<()> {
        let mut names = Vec::new();
        for n in 0..HOSTS {
            names.push(HostName::new(format!("c{n}"))?);
            names.push(HostName::new(format!("e{n}"))?);
        }
        KeyFolder::new(self.dir.path().join("keys")).create(&names)?;
        let peers = json!(self.control_links).to_string();
        let dir = self.dir.path().display();
        for n in 0..HOSTS {
            let control = format!(
                "host = \"c{n}\"\ndata_centre = \"north\"\nlisten = \"{}\"\nhttp = \"{}\"\npeers = {peers}\n\
                 data = \"{dir}/c{n}.data\"\nkeys = \"{dir}/keys/c{n}\"\n[limits]\nsnapshot_entries = 64\n",
                self.control_links[n], self.control_http[n]
            );
            fs::write(self.dir.path().join(format!("c{n}.toml")), control)?;
            let entry = format!(
                "name = \"e{n}\"\ndata_centre = \"north\"\nhttp = \"{}\"\ncontrols = {peers}\n\
                 keys = \"{dir}/keys/e{n}\"\n{entry_settings}",
                self.entry_http[n]
            );
            fs::write(self.dir.path().join(format!("e{n}.toml")), entry)?;
        }
        for n in 0..HOSTS {
            let status = self.found_group(n)?;
            ensure!(status.success(), "founding on c{n}: {status}");
        }
        Ok(())
    }

    /// Runs control process `n` with `--found` to found the group on its host, and waits for its exit.
    ///
    /// The status tells whether that succeeded; a host that already belongs to a group must refuse.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn found_group(&self, n: usize) -> eyre::Result<ExitStatus> {
        let mut founders = String::new();
        for (n, link) in self.control_links.iter().enumerate() {
            write!(founders, "{}c{n}={link}", if n == 0 { "" } else { "," })?;
        }
        let mut command = self.program("heathergrade-control", &format!("c{n}"))?;
        Ok(command.arg("--found").arg(&founders).status()?)
    }

    /// Command that runs a program with the settings of process `name`; appends its output to
    /// `name.log`.
    fn program(&self, program: &str, name: &str) -> eyre::Result<Command> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.path().join(format!("{name}.log")))?;
        let mut command = Command::new(self.bin.join(program));
        command.arg("--settings").arg(self.dir.path().join(format!("{name}.toml")));
        command.stdout(log.try_clone()?).stderr(log);
        Ok(command)
    }

    /// Starts a program with the limit on open files. A process inherits the limit of the test, so that is lowered meanwhile.
    fn spawn(&self, mut command: Command) -> eyre::Result<Child> {
        let Some(files_max) = self.files_max else { return Ok(command.spawn()?) };
        let own = getrlimit(Resource::Nofile);
        setrlimit(Resource::Nofile, Rlimit { current: Some(files_max), ..own })?;
        let child = command.spawn();
        setrlimit(Resource::Nofile, own)?;
        Ok(child?)
    }

    /// Starts control process `n`.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start_control(&mut self, n: usize) -> eyre::Result<()> {
        let name = format!("c{n}");
        let command = self.program("heathergrade-control", &name)?;
        let child = self.spawn(command).wrap_err("control")?;
        self.children.insert(name, child);
        Ok(())
    }

    /// Starts entry process `n`.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start_entry(&mut self, n: usize) -> eyre::Result<()> {
        let name = format!("e{n}");
        let command = self.program("heathergrade-entry", &name)?;
        let child = self.spawn(command).wrap_err("entry")?;
        self.children.insert(name, child);
        Ok(())
    }

    /// Starts fake upstream `n` with extra arguments; two upstreams share a rack.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start_upstream(&mut self, n: usize, arguments: &[&str]) -> eyre::Result<()> {
        let name = format!("u{n}");
        let entries: Vec<String> = self.entry_http.iter().map(ToString::to_string).collect();
        let log = File::create(self.dir.path().join(format!("{name}.log")))?;
        let mut command = Command::new(self.bin.join("fake-upstream"));
        command.args(["--name", &name, "--rack", &format!("r{}", n / 2)]);
        command.args(["--entries", &entries.join(",")]).args(arguments);
        command.arg("--witness").arg(self.dir.path().join("witness"));
        let child = command.stdout(log.try_clone()?).stderr(log).spawn().wrap_err("upstream")?;
        self.children.insert(name, child);
        Ok(())
    }

    /// Waits until exactly `count` upstreams are open.
    ///
    /// # Errors
    ///
    /// If that does not happen in time.
    pub async fn wait_for_open_upstreams(&self, count: usize) -> eyre::Result<()> {
        let api = self.api(0);
        wait_until("open upstreams", async || {
            let Ok(reply) = api.get("/v1/upstreams").await else { return false };
            let is_open = |u: &&Value| u["state"] == "open";
            reply.body.as_array().is_some_and(|list| list.iter().filter(is_open).count() == count)
        })
        .await
    }

    /// Where entry `n` serves HTTP.
    pub fn entry_address(&self, n: usize) -> SocketAddr {
        self.entry_http[n]
    }

    /// Where control process `n` serves its pages.
    pub fn control_address(&self, n: usize) -> SocketAddr {
        self.control_http[n]
    }

    /// The id of a process.
    ///
    /// # Errors
    ///
    /// If there is no such process.
    pub fn pid(&self, name: &str) -> eyre::Result<u32> {
        let child = self.children.get(name).ok_or_else(|| eyre!("no process {name}"))?;
        Ok(child.id())
    }

    /// The names of the processes that have exited without being killed.
    ///
    /// # Errors
    ///
    /// If the system does not say.
    pub fn exited(&mut self) -> eyre::Result<Vec<String>> {
        let mut exited = Vec::new();
        for (name, child) in &mut self.children {
            if child.try_wait()?.is_some() {
                exited.push(name.clone());
            }
        }
        Ok(exited)
    }

    /// A client of entry `n`.
    pub fn api(&self, n: usize) -> Api {
        Api::new(self.entry_http[n])
    }

    /// The record of the tasks that the upstreams started.
    pub fn witness(&self) -> Witness {
        Witness::new(self.dir.path().join("witness"))
    }

    /// Number of the control process that leads, as entry `n` reports it; waits until there is one.
    ///
    /// # Errors
    ///
    /// If no leader is found in time.
    pub async fn leader(&self, n: usize) -> eyre::Result<usize> {
        let mut found = None;
        let api = self.api(n);
        wait_until("a leader", async || {
            let Ok(reply) = api.get("/v1/status").await else { return false };
            found = reply.body["leader"].as_str().and_then(|name| name[1..].parse().ok());
            found.is_some()
        })
        .await?;
        found.ok_or_else(|| eyre!("no leader"))
    }

    /// The status of the system as entry `n` reports it; the entry fetches it from the leader.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached.
    pub async fn status(&self, n: usize) -> eyre::Result<Value> {
        Ok(self.api(n).get("/v1/status").await?.body)
    }

    /// Output of `heathergrade control status`, which asks the control hosts directly.
    ///
    /// # Errors
    ///
    /// If the command cannot be run or fails.
    pub fn control_status(&self) -> eyre::Result<String> {
        let links: Vec<String> = self.control_links.iter().map(ToString::to_string).collect();
        let output = Command::new(self.bin.join("heathergrade"))
            .args(["control", "status", "--control", &links.join(","), "--keys"])
            .arg(self.dir.path().join("keys/e0"))
            .output()?;
        ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        Ok(String::from_utf8(output.stdout)?)
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// If there is no such process.
    pub fn signal(&self, name: &str, signal: Signal) -> eyre::Result<()> {
        let child = self.children.get(name).ok_or_else(|| eyre!("no process {name}"))?;
        let pid = i32::try_from(child.id())?;
        let pid = Pid::from_raw(pid).ok_or_else(|| eyre!("no process id"))?;
        kill_process(pid, signal).wrap_err("signal")
    }

    /// Kills a process with `SIGKILL` and waits for its exit.
    ///
    /// # Errors
    ///
    /// If there is no such process.
    pub fn kill(&mut self, name: &str) -> eyre::Result<()> {
        let mut child = self.children.remove(name).ok_or_else(|| eyre!("no process {name}"))?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Waits until a process exits by itself; kills it if it does not.
    ///
    /// # Errors
    ///
    /// If there is no such process, or it does not exit in time.
    pub async fn wait_for_exit(&mut self, name: &str) -> eyre::Result<ExitStatus> {
        let mut child = self.children.remove(name).ok_or_else(|| eyre!("no process {name}"))?;
        let mut status = None;
        let result = wait_until("the exit of a process", async || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        })
        .await;
        if result.is_err() {
            child.kill()?;
            child.wait()?;
        }
        result?;
        status.ok_or_else(|| eyre!("no exit status"))
    }

    /// Path of the replicated log on the disk of control process `n`.
    pub fn replica_log_path(&self, n: usize) -> PathBuf {
        self.dir.path().join(format!("c{n}.data")).join("log")
    }

    /// The output of a process, with its log lines.
    ///
    /// # Errors
    ///
    /// If its file cannot be read.
    pub fn process_output(&self, name: &str) -> eyre::Result<String> {
        Ok(fs::read_to_string(self.dir.path().join(format!("{name}.log")))?)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (name, child) in &mut self.children {
            if child.kill().and_then(|()| child.wait()).is_err() {
                eprintln!("process {name} had already exited");
            }
        }
        if std::thread::panicking() || std::env::var_os("HG_KEEP").is_some() {
            let kept = self.dir.path().with_extension("kept");
            if fs::rename(self.dir.path(), &kept).is_ok() {
                eprintln!("settings, data and logs are kept in {}", kept.display());
            }
        }
    }
}

/// Lists with one plan and one client account, guaranteed `parts` tasks of one accelerator each.
pub fn sample_lists(parts: u32) -> Value {
    json!({
        "plan": [{
            "name": "roster",
            "limit": { "accelerators": 64, "processors": 256, "memory_mib": 1_000_000 },
            "guarantee": [{
                "tasks": parts,
                "per_task": { "accelerators": 1, "processors": 1, "memory_mib": 64 },
            }],
        }],
        "account": [{ "name": "lindqvist", "plan": "roster" }],
    })
}

/// First port that tests use. Test ports are below the range from which the system picks ports for
/// outgoing connections: an outgoing connection could otherwise take a port after it was chosen here and
/// before the process that is to listen on it starts.
const FIRST_PORT: u16 = 11_000;
/// Number of ports that tests use; all are below the range for outgoing connections.
const PORTS: u16 = 20_000;

/// The next port to try. Test processes that run in parallel start at different ports.
fn next_candidate_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const STRIDE: u32 = 97;
    let first = std::process::id().wrapping_mul(STRIDE);
    let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % u32::from(PORTS);
    FIRST_PORT + u16::try_from(offset).expect("a remainder of a 16-bit number")
}

/// Loopback addresses whose ports `bind` can take now; each port is released again at once.
fn free_ports<S>(count: usize, bind: impl Fn(SocketAddr) -> std::io::Result<S>) -> Vec<SocketAddr> {
    let address = || SocketAddr::from(([127, 0, 0, 1], next_candidate_port()));
    std::iter::repeat_with(address).filter(|a| bind(*a).is_ok()).take(count).collect()
}
