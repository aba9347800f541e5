//! Real processes on loopback.

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
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::{Api, Witness};

/// How long anything that must come may take; wide, since test machines are slow.
const LIMIT: Duration = Duration::from_secs(60);
/// How often it is looked whether it has come.
const LOOK: Duration = Duration::from_millis(50);
/// Control and entry processes of each kind.
const HOSTS: usize = 3;

/// A deployment: three control, three entry and some stand-in upstream processes.
#[derive(Debug)]
pub struct Deployment {
    dir: TempDir,
    bin: PathBuf,
    links: Vec<SocketAddr>,
    pages: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    children: BTreeMap<String, Child>,
}

/// Waits until something holds.
///
/// # Errors
///
/// If it does not hold in time.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> eyre::Result<()> {
    let deadline = Instant::now() + LIMIT;
    while !holds().await {
        ensure!(Instant::now() < deadline, "{what} did not come within {LIMIT:?}");
        sleep(LOOK).await;
    }
    Ok(())
}

impl Deployment {
    /// Starts everything and waits until the upstreams are known.
    ///
    /// # Errors
    ///
    /// If a process cannot be started or does not get ready.
    pub async fn start(upstreams: usize) -> eyre::Result<Self> {
        let mut deployment = Self::prepare()?;
        for n in 0..HOSTS {
            deployment.start_control(n)?;
            deployment.start_entry(n)?;
        }
        for n in 0..upstreams {
            deployment.start_upstream(n, &[])?;
        }
        deployment.wait_for_open(upstreams).await?;
        let lists = deployment.api(0).put_lists("first", 0, &sample_lists(1)).await?;
        ensure!(lists.status == 200, "lists: {lists:?}");
        Ok(deployment)
    }

    /// Makes keys and settings and founds the group; starts nothing.
    fn prepare() -> eyre::Result<Self> {
        let dir = tempfile::tempdir()?;
        let exe = std::env::current_exe()?;
        let bin = exe.ancestors().nth(2).ok_or_else(|| eyre!("no target folder"))?.to_owned();
        ensure!(
            bin.join("heathergrade-control").exists(),
            "build the binaries first: cargo build --workspace --bins"
        );
        let links = free_ports(HOSTS, UdpSocket::bind);
        let mut tcp = free_ports(HOSTS * 2, TcpListener::bind);
        let entries = tcp.split_off(HOSTS);
        let deployment = Self { dir, bin, links, pages: tcp, entries, children: BTreeMap::new() };
        deployment.write_files()?;
        Ok(deployment)
    }

    fn write_files(&self) -> eyre::Result<()> {
        let mut names = Vec::new();
        for n in 0..HOSTS {
            names.push(HostName::new(format!("c{n}"))?);
            names.push(HostName::new(format!("e{n}"))?);
        }
        KeyFolder::new(self.dir.path().join("keys")).create(&names)?;
        let peers = json!(self.links).to_string();
        let dir = self.dir.path().display();
        for n in 0..HOSTS {
            let control = format!(
                "host = \"c{n}\"\ndata_centre = \"north\"\nlisten = \"{}\"\nhttp = \"{}\"\npeers = {peers}\n\
                 data = \"{dir}/c{n}.data\"\nkeys = \"{dir}/keys/c{n}\"\n[limits]\nsnapshot_entries = 64\n",
                self.links[n], self.pages[n]
            );
            fs::write(self.dir.path().join(format!("c{n}.toml")), control)?;
            let entry = format!(
                "name = \"e{n}\"\ndata_centre = \"north\"\nhttp = \"{}\"\ncontrols = {peers}\n\
                 keys = \"{dir}/keys/e{n}\"\n",
                self.entries[n]
            );
            fs::write(self.dir.path().join(format!("e{n}.toml")), entry)?;
        }
        for n in 0..HOSTS {
            let status = self.found_again(n)?;
            ensure!(status.success(), "founding on c{n}: {status}");
        }
        Ok(())
    }

    /// Founds the group on control host `n`, as if for the first time.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn found_again(&self, n: usize) -> eyre::Result<ExitStatus> {
        let mut founders = String::new();
        for (n, link) in self.links.iter().enumerate() {
            write!(founders, "{}c{n}={link}", if n == 0 { "" } else { "," })?;
        }
        let mut command = self.program("heathergrade-control", &format!("c{n}"))?;
        Ok(command.arg("--found").arg(&founders).status()?)
    }

    /// A program that reads the settings of `name` and logs to a file of its own.
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

    /// Starts control process `n`.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start_control(&mut self, n: usize) -> eyre::Result<()> {
        let name = format!("c{n}");
        let child = self.program("heathergrade-control", &name)?.spawn().wrap_err("control")?;
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
        let child = self.program("heathergrade-entry", &name)?.spawn().wrap_err("entry")?;
        self.children.insert(name, child);
        Ok(())
    }

    /// Starts stand-in upstream `n`, two to a rack.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start_upstream(&mut self, n: usize, arguments: &[&str]) -> eyre::Result<()> {
        let name = format!("u{n}");
        let entries: Vec<String> = self.entries.iter().map(ToString::to_string).collect();
        let log = File::create(self.dir.path().join(format!("{name}.log")))?;
        let mut command = Command::new(self.bin.join("fake-upstream"));
        command.args(["--name", &name, "--rack", &format!("r{}", n / 2)]);
        command.args(["--entries", &entries.join(",")]).args(arguments);
        command.arg("--witness").arg(self.dir.path().join("witness"));
        let child = command.stdout(log.try_clone()?).stderr(log).spawn().wrap_err("upstream")?;
        self.children.insert(name, child);
        Ok(())
    }

    /// Waits until so many upstreams are open.
    ///
    /// # Errors
    ///
    /// If they do not come.
    pub async fn wait_for_open(&self, count: usize) -> eyre::Result<()> {
        let api = self.api(0);
        until("open upstreams", async || {
            let Ok(reply) = api.get("/v1/upstreams").await else { return false };
            let is_open = |u: &&Value| u["state"] == "open";
            reply.body.as_array().is_some_and(|list| list.iter().filter(is_open).count() == count)
        })
        .await
    }

    /// The interface of entry `n`.
    pub fn api(&self, n: usize) -> Api {
        Api::new(self.entries[n])
    }

    /// Where the upstreams write their starts down.
    pub fn witness(&self) -> Witness {
        Witness::new(self.dir.path().join("witness"))
    }

    /// The control process that leads, as entry `n` sees it.
    ///
    /// # Errors
    ///
    /// If no leader is found in time.
    pub async fn leader(&self, n: usize) -> eyre::Result<usize> {
        let mut found = None;
        let api = self.api(n);
        until("a leader", async || {
            let Ok(reply) = api.get("/v1/status").await else { return false };
            found = reply.body["leader"].as_str().and_then(|name| name[1..].parse().ok());
            found.is_some()
        })
        .await?;
        found.ok_or_else(|| eyre!("no leader"))
    }

    /// The status that entry `n` gets from the leader.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached.
    pub async fn status(&self, n: usize) -> eyre::Result<Value> {
        Ok(self.api(n).get("/v1/status").await?.body)
    }

    /// Asks the control hosts for their status with the command line.
    ///
    /// # Errors
    ///
    /// If the command cannot be run or fails.
    pub fn control_status(&self) -> eyre::Result<String> {
        let links: Vec<String> = self.links.iter().map(ToString::to_string).collect();
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

    /// Kills a process and waits until it is gone.
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

    /// Waits until a process has ended by itself.
    ///
    /// # Errors
    ///
    /// If it does not end in time.
    pub async fn ended(&mut self, name: &str) -> eyre::Result<ExitStatus> {
        let mut child = self.children.remove(name).ok_or_else(|| eyre!("no process {name}"))?;
        let mut status = None;
        let result = until("the end of a process", async || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        })
        .await;
        if result.is_err() {
            child.kill()?;
            child.wait()?;
        }
        result?;
        status.ok_or_else(|| eyre!("no status"))
    }

    /// The log file of control process `n`.
    pub fn control_log(&self, n: usize) -> PathBuf {
        self.dir.path().join(format!("c{n}.data")).join("log")
    }

    /// What a process has logged.
    ///
    /// # Errors
    ///
    /// If there is no such file.
    pub fn logged(&self, name: &str) -> eyre::Result<String> {
        Ok(fs::read_to_string(self.dir.path().join(format!("{name}.log")))?)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (name, child) in &mut self.children {
            if child.kill().and_then(|()| child.wait()).is_err() {
                eprintln!("process {name} was gone already");
            }
        }
        if std::thread::panicking() || std::env::var_os("HG_KEEP").is_some() {
            let kept = self.dir.path().with_extension("kept");
            if fs::rename(self.dir.path(), &kept).is_ok() {
                eprintln!("logs are in {}", kept.display());
            }
        }
    }
}

/// Lists in which one account has a guarantee of `parts` accelerators.
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

/// The first port that tests take, below those that the system gives to outgoing connections: one of
/// those may take a port between its choice here and the start of the process that is to listen there.
const FIRST_PORT: u16 = 11_000;
/// How many ports there are up to where outgoing connections begin.
const PORTS: u16 = 20_000;

/// Where the next search begins; test processes that run side by side begin at different places.
fn next_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const STRIDE: u32 = 97;
    let start = std::process::id().wrapping_mul(STRIDE);
    let at = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % u32::from(PORTS);
    FIRST_PORT + u16::try_from(at).expect("a remainder of a 16-bit number")
}

fn free_ports<S>(count: usize, bind: impl Fn(SocketAddr) -> std::io::Result<S>) -> Vec<SocketAddr> {
    let address = || SocketAddr::from(([127, 0, 0, 1], next_port()));
    std::iter::repeat_with(address).filter(|a| bind(*a).is_ok()).take(count).collect()
}
