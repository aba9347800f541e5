//! The system under test: its programs as processes on loopback addresses, with settings of a small deployment.

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Response};
use crate::record::Record;

/// The control hosts, by the last byte of their addresses.
pub const CONTROLS: [u8; 3] = [1, 2, 3];
/// The entry hosts.
pub const ENTRIES: [u8; 2] = [11, 12];
/// The host of the platform's interface.
pub const PLATFORM: u8 = 9;
/// The host of the first worker.
pub const FIRST_WORKER: u8 = 21;
/// The link port at which entries look for control hosts.
pub const ENTRY_LINK_PORT: u16 = 7_000;
const CONTROL_PORT: u16 = 8_526;
const FRONT_PORT: u16 = 8_521;
const READY_PORT: u16 = 8_523;
const PLATFORM_PORT: u16 = 8_524;
const WORKER_PORT: u16 = 8_080;
const CALL_LIMIT: Duration = Duration::from_secs(4);
/// The arguments of the control program in the deploy file.
const CONTROL_ARGUMENTS: [&str; 2] = ["--policies", "host-speeds,run-times,fair-shares"];

/// The processes that were started, by id.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that were started, and this one with exit code 2, after a time in which every case has ended.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case took longer than {limit:?}");
        for id in STARTED.lock().expect("no thread panics while it holds the lock").iter() {
            // One that has ended already needs no signal.
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// What differs between cases.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The data centres with their regions, as lines of `[Zones]`.
    pub zones: String,
    /// The `Cloud` address of single control hosts; the platform's own address otherwise.
    pub cloud: BTreeMap<u8, SocketAddr>,
    /// The link port of single control hosts and the one at which they look for the others.
    pub link_port: BTreeMap<u8, u16>,
}

/// The running processes; dropping it kills them and removes their folder.
#[derive(Debug)]
pub struct System {
    dir: PathBuf,
    net: [u8; 2],
    children: BTreeMap<String, Child>,
    options: Options,
    record: Record,
}

/// An address on a loopback network on which no port of the system is in use.
fn free_network() -> [u8; 2] {
    let seed = std::process::id();
    for step in 0..200 {
        let net = [(seed.wrapping_add(step) % 240 + 10) as u8, (seed / 240 % 250) as u8];
        let host = |host, port| address(net, host, port);
        let tcp = [host(1, CONTROL_PORT), host(11, FRONT_PORT), host(21, WORKER_PORT)];
        let is_free = tcp.iter().all(|address| TcpListener::bind(address).is_ok());
        if is_free && UdpSocket::bind(host(1, ENTRY_LINK_PORT)).is_ok() {
            return net;
        }
    }
    [201, 7]
}

pub const fn address([a, b]: [u8; 2], host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, host)), port)
}

impl System {
    /// A system of which no process runs yet.
    pub fn new(options: Options, record: &Record) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("heathergrade-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let net = free_network();
        Ok(Self { dir, net, children: BTreeMap::new(), options, record: record.clone() })
    }

    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    pub const fn platform_address(&self) -> SocketAddr {
        address(self.net, PLATFORM, PLATFORM_PORT)
    }

    pub const fn worker_address(&self, number: u8) -> SocketAddr {
        address(self.net, FIRST_WORKER + number, WORKER_PORT)
    }

    pub const fn link_address(&self, host: u8, port: u16) -> SocketAddr {
        address(self.net, host, port)
    }

    pub const fn control_address(&self, host: u8) -> SocketAddr {
        address(self.net, host, CONTROL_PORT)
    }

    /// The addresses at which control is served.
    pub fn controls(&self) -> Vec<SocketAddr> {
        CONTROLS.iter().map(|host| self.control_address(*host)).collect()
    }

    /// Starts all processes and waits until the first config is acknowledged and the entries are ready.
    pub fn start(&mut self, config: &str) -> Result<(), String> {
        for host in ENTRIES {
            self.start_entry(host).map_err(|e| format!("entry {host}: {e}"))?;
        }
        for host in CONTROLS {
            self.start_control(host, true).map_err(|e| format!("control {host}: {e}"))?;
        }
        let accepted =
            || self.operator("POST", "/config/replace", config).is_ok_and(|r| r.0 == 200);
        wait_until("the first config is acknowledged", Duration::from_secs(20), accepted)?;
        wait_until("the entries are ready", Duration::from_secs(20), || {
            ENTRIES.iter().all(|host| {
                let ready = address(self.net, *host, READY_PORT);
                let answer = http::call(ready, "GET", "/ready", &[], "", CALL_LIMIT);
                answer.is_ok_and(|response| response.0 == 200)
            })
        })
    }

    /// Starts a control process.
    pub fn start_control(&mut self, host: u8, bootstrap: bool) -> io::Result<()> {
        let name = format!("core-{host}");
        let data = self.dir.join(format!("{name}.data"));
        let more = format!(
            "LossCounts = true\nBootstrap = {bootstrap}\nDataDir = \"{}\"\n[Listen]\nControl = \"{}\"\n",
            data.display(),
            self.control_address(host)
        );
        let program = "target/release/heathergrade-platform-control";
        self.spawn(program, &CONTROL_ARGUMENTS, &name, host, &more)
    }

    fn start_entry(&mut self, host: u8) -> io::Result<()> {
        let (front, ready) =
            (address(self.net, host, FRONT_PORT), address(self.net, host, READY_PORT));
        let more = format!(
            "LossCounts = false\nBootstrap = true\n[Listen]\nFront = \"{front}\"\nReadyAddr = \"{ready}\"\n"
        );
        self.spawn(
            "target/release/heathergrade-platform-entry",
            &[],
            &format!("front-{host}"),
            host,
            &more,
        )
    }

    fn spawn(
        &mut self,
        program: &str,
        arguments: &[&str],
        name: &str,
        host: u8,
        more: &str,
    ) -> io::Result<()> {
        let seeds: Vec<String> =
            self.controls().iter().map(|control| format!("\"{control}\"")).collect();
        let platform = self.platform_address();
        let cloud = self.options.cloud.get(&host).copied().unwrap_or(platform);
        let port = self.options.link_port.get(&host).copied().unwrap_or(ENTRY_LINK_PORT);
        let zones = if self.options.zones.is_empty() {
            "north = \"region-a\"\n"
        } else {
            self.options.zones.as_str()
        };
        let settings = format!(
            "Node = \"{name}\"\nIp = \"{}\"\nZone = \"north\"\nRegion = \"region-a\"\n\
             InternalPorts = [{port},{}]\nSeeds = [{}]\nDiscovery = \"registry\"\nHeartbeatMs = 1500\n\
             Orders = \"rpc\"\nAdvice = \"{platform}\"\n{more}\
             [Zones]\n{zones}\
             [Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 256\nMaxFds = 4096\n\
             [FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchupS = 4\nDrainMs = 2000\n\
             GraceS = 6\nConfigMs = 2000\nRecoveryS = 12\nMaxHoldMs = 10000\nStopMs = 400\nGangMs = 3000\n\
             cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nFarFactor = 3\n\
             CheckpointIntervalS = 2\nRestoreMs = 600\nNoticeMs = 4500\nMoveS = 1.5\nMaintenanceS = 2\n\
             Fencing = false\nLeaseMs = 3000\nPaceMs = 100\nHarmMs = 4000\nReclaimMs = 2900\n\
             [Cloud]\nAddr = \"{cloud}\"\nRatePerS = 60.0\nDutyRateS = 60.0\nDuties = []\n",
            address(self.net, host, 0).ip(),
            port + 15,
            seeds.join(","),
        );
        let file = self.dir.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(arguments)
            .env("HEATHERGRADE_NODE_FILE", file)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("world {name} starts as process {}", child.id()));
        STARTED.lock().expect("no thread panics while it holds the lock").push(child.id());
        self.children.insert(name.to_owned(), child);
        Ok(())
    }

    /// Makes an operator's call to the first daemon that gives a clear answer.
    pub fn operator(&self, method: &str, path: &str, body: &str) -> Result<Response, String> {
        let mut last = Err("no daemon".to_owned());
        for control in self.controls() {
            let answer = http::call(control, method, path, &[], body, Duration::from_secs(1));
            last = answer.map_err(|e| e.to_string());
            if last.as_ref().is_ok_and(|response| response.0 < 500) {
                break;
            }
        }
        let shown = if body.len() > 300 { "(config)" } else { body };
        self.record.line(format!("oper  {method} {path} {shown}: {last:?}"));
        last
    }

    /// Makes a client's call to an entry.
    pub fn client(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<Response, String> {
        let headers = [("Host", "jobs.example"), ("X-Api-Key", "key-1"), ("X-Deadline-Ms", "3000")];
        let front = address(self.net, ENTRIES[entry], FRONT_PORT);
        let answer = http::call(front, method, path, &headers, body, Duration::from_secs(3));
        let answer = answer.map_err(|e| e.to_string());
        self.record.line(format!("call  {method} {path} {body}: {answer:?}"));
        answer
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            // A process that has ended already needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
        if fs::remove_dir_all(&self.dir).is_err() {
            eprintln!("{} was not removed", self.dir.display());
        }
    }
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, limit: Duration, holds: impl Fn() -> bool) -> Result<(), String> {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= until {
            return Err(format!("{what}: not within {limit:?}"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// A config with one queue, one service and one tenant.
pub fn config(version: u64) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r\",\"Host\":\"jobs.example\",\"PathPrefix\":\"/queue/\",\
         \"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,\"SloMs\":1000,\"Priority\":1,\"Service\":\"pool\",\
         \"Attempts\":3,\"Stretch\":3.0,\"Anonymous\":false}}],\"Services\":[{{\"Name\":\"pool\",\
         \"HealthPath\":\"/health\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"AdmissionCheck\":true,\
         \"Standby\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"lindqvist\",\
         \"ApiKeys\":[\"key-1\"],\"Priority\":1,\"Guaranteed\":{{\"Gpu\":0}}}}]}}"
    )
}
