//! The system under test: its programs as separate processes on loopback, each on an address of its own, and the clients
//! and the operator that call it.

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::advice::{Advice, DECIDE_MS, INTERVAL_MS, VALID_MS};
use crate::http;
use crate::json::Json;
use crate::platform::Platform;
use crate::record::Record;
use crate::watchdog;
use crate::worker::{Place, Worker};

const LINK: u16 = 7_000;
const CONTROL: u16 = 8_526;
const FRONT: u16 = 8_521;
const READY: u16 = 8_523;
const WORKER: u16 = 8_080;
const CONTROLS: [u8; 3] = [1, 2, 3];
const FRONTS: [u8; 2] = [11, 12];
/// The tenants' keys, and how many accelerators each is guaranteed.
const TENANTS: [(&str, u32); 2] = [("key-of-tenant-0", 8), ("key-of-tenant-1", 0)];
/// The queues' host.
const HOST: &str = "jobs.example";
/// The port of the service that gives advice, and of the part of the platform that owns the machines.
const ADVICE: u16 = 8_524;
const CLOUD: u16 = 8_525;

/// A queue of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Queue {
    /// Its path prefix.
    pub prefix: &'static str,
    pub priority: u32,
    pub attempts: u32,
    /// Whether another service decides which workers may run a step.
    pub has_advice: bool,
    /// The service whose workers run its tasks.
    pub service: &'static str,
    /// Which tenant's key the clients' calls carry.
    pub tenant: usize,
}

impl Queue {
    /// The queue that most cases use, like that of the monthly statements.
    pub const PLAIN: Self = Self {
        prefix: "/statements/",
        priority: 1,
        attempts: 3,
        has_advice: false,
        service: "pool",
        tenant: 0,
    };
}

/// A running deployment.
#[derive(Debug)]
pub struct System {
    dir: PathBuf,
    net: [u8; 2],
    children: BTreeMap<String, Child>,
    pub record: Record,
    /// The service that gives advice, if a queue needs it.
    pub advice: Option<Advice>,
    pub platform: Platform,
}

/// An answer that a client got.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl System {
    /// Starts three control daemons and two front daemons with empty disks, and waits until a config is in force and the
    /// fronts are ready.
    pub fn start(record: Record, queues: &[Queue]) -> Result<Self, String> {
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.subsec_nanos());
        let dir = std::env::temp_dir().join(format!("hg-review-{}-{stamp}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let net = free_net().ok_or("no free loopback addresses")?;
        let ip = IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], 9));
        let platform = Platform::start(SocketAddr::new(ip, CLOUD), record.clone());
        let children = BTreeMap::new();
        let mut system = Self { dir, net, children, record, advice: None, platform };
        if queues.iter().any(|queue| queue.has_advice) {
            system.advice = Some(Advice::start(system.at(9, ADVICE), system.record.clone()));
        }
        for host in CONTROLS {
            system.start_control(host, true)?;
        }
        for host in FRONTS {
            system.start_front(host)?;
        }
        let config = config(7, queues);
        let deadline = Instant::now() + Duration::from_secs(20);
        while system.operator("POST", "/config/replace", &config).is_none_or(|a| a.status != 200) {
            if Instant::now() > deadline {
                return Err("the first config was not accepted".to_owned());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        system.record.line("the operator's first config is acknowledged");
        for host in FRONTS {
            let ready = system.at(host, READY);
            let is_ready = || {
                let answer = http::call(ready, "GET", "/ready", &[], "", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            };
            while !is_ready() {
                if Instant::now() > deadline {
                    return Err("a front daemon is not ready".to_owned());
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(system)
    }

    /// The address of a host's port.
    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b] = self.net;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, host)), port)
    }

    /// Starts a worker, and waits until it has checked in.
    pub fn start_worker(
        &self,
        number: u8,
        kind: &'static str,
        zone: &'static str,
        keeps_id: bool,
    ) -> Worker {
        self.start_worker_of("pool", number, kind, zone, keeps_id)
    }

    /// Starts a worker of a service, and waits until it has checked in.
    pub fn start_worker_of(
        &self,
        service: &'static str,
        number: u8,
        kind: &'static str,
        zone: &'static str,
        keeps_id: bool,
    ) -> Worker {
        let place = Place {
            name: format!("i-{number}"),
            address: self.at(20 + number, WORKER),
            service,
            kind,
            rack: format!("r1-{}", number / 8 + 1),
            zone,
            keeps_id,
            advice: self.advice.clone(),
        };
        let controls = CONTROLS.map(|host| self.at(host, CONTROL)).to_vec();
        let worker = Worker::start(place, controls, self.record.clone());
        let deadline = Instant::now() + Duration::from_secs(10);
        while worker.heartbeats_acked() == 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.platform.add(&worker);
        worker
    }

    fn start_control(&mut self, host: u8, bootstrap: bool) -> Result<(), String> {
        let name = format!("core-{host}");
        let data = self.dir.join(format!("{name}.data"));
        let listen = format!("Control = \"{}\"\n", self.at(host, CONTROL));
        let data = format!("DataDir = \"{}\"\n", data.display());
        let settings = self.settings(&name, host, "core", bootstrap, &data, &listen);
        self.spawn(&name, "control", &settings)
    }

    fn start_front(&mut self, host: u8) -> Result<(), String> {
        let name = format!("front-{host}");
        let (front, ready) = (self.at(host, FRONT), self.at(host, READY));
        let listen = format!("Front = \"{front}\"\nReadyAddr = \"{ready}\"\n");
        let settings = self.settings(&name, host, "front", true, "", &listen);
        self.spawn(&name, "entry", &settings)
    }

    /// A settings file as `DEPLOY.md` shows it, with the bounds of the north cluster.
    fn settings(
        &self,
        name: &str,
        host: u8,
        class: &str,
        bootstrap: bool,
        data: &str,
        listen: &str,
    ) -> String {
        let seeds = CONTROLS.map(|seed| format!("\"{}\"", self.at(seed, CONTROL))).join(",");
        let (ip, advice, cloud) = (self.at(host, 0).ip(), self.at(9, ADVICE), self.at(9, CLOUD));
        format!(
            "Node = \"{name}\"\nRole = \"{class}\"\nMachineClass = \"{class}\"\nIp = \"{ip}\"\nZone = \"zone-a\"\n\
             Region = \"region-1\"\nInternalPorts = [{LINK},7015]\nSeeds = [{seeds}]\n\
             Bootstrap = {bootstrap}\nLossCounts = true\nDiscovery = \"registry\"\nEntry = \"vip\"\n\
             HeartbeatMs = 1500\nconfig_mode = \"highest\"\nOrders = \"rpc\"\nAdvice = \"{advice}\"\n{data}\
             [Zones]\nzone-a = \"region-1\"\nzone-b = \"region-1\"\n\
             [Listen]\n{listen}\
             [Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 256\nMaxFds = 4096\nLinkMbps = 1000.0\nDiskMb = 128\n\
             [FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchupS = 4\nDrainMs = 2000\n\
             GraceS = 6\nLossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\nMaxSkewMs = 5000\n\
             StrictRevoke = false\nRevokeMs = 5000\nRecoveryS = 12\nMaxHoldMs = 10000\nStopMs = 400\nGangMs = 3000\n\
             cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nFarFactor = 3\n\
             CheckpointIntervalS = 2\nRestoreMs = 600\nNoticeMs = 4500\nMoveS = 1.5\nMaintenanceS = 2\n\
             Fencing = false\nLeaseMs = 3000\nThawMs = 300\nPaceMs = 100\nHarmMs = 4000\nReclaimMs = 2900\n\
             [Cloud]\nAddr = \"{cloud}\"\nRatePerS = 60.0\nDuties = []\nDutyRateS = 60.0\n"
        )
    }

    /// Starts the program of a role with the command of the deploy file.
    fn spawn(&mut self, name: &str, role: &str, settings: &str) -> Result<(), String> {
        let file = self.dir.join(format!("{name}.toml"));
        fs::write(&file, settings).map_err(|e| e.to_string())?;
        let log = self.dir.join(format!("{name}.log"));
        let log =
            OpenOptions::new().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let command = command_of(role)?;
        let mut words = command.split(' ');
        let program = words.next().ok_or("the deploy file names no program")?;
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("HEATHERGRADE_NODE_FILE", file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{program}: {e}"))?;
        watchdog::watch(child.id());
        self.children.insert(name.to_owned(), child);
        Ok(())
    }

    /// Makes an operator's call to the first control daemon that gives a clear answer.
    pub fn operator(&self, method: &str, path: &str, body: &str) -> Option<Answer> {
        let answer = CONTROLS.iter().find_map(|host| {
            let to = self.at(*host, CONTROL);
            let (status, body) = http::call(to, method, path, &[], body, Duration::from_secs(1))?;
            (status < 500).then_some(Answer { status, body })
        });
        let status = answer.as_ref().map_or("no clear answer".to_owned(), |a| a.status.to_string());
        self.record.line(&format!("operator {method} {path}: {status}"));
        answer
    }

    /// Makes a client's call to one of the fronts.
    pub fn client(
        &self,
        front: usize,
        method: &str,
        queue: &Queue,
        id: &str,
        body: &str,
    ) -> Option<Answer> {
        let headers =
            [("Host", HOST), ("X-Api-Key", TENANTS[queue.tenant].0), ("X-Deadline-Ms", "3000")];
        let to = self.at(FRONTS[front % FRONTS.len()], FRONT);
        let path = format!("{}{id}", queue.prefix);
        let answer = http::call(to, method, &path, &headers, body, Duration::from_secs(3));
        let answer = answer.map(|(status, body)| Answer { status, body });
        let shown = answer.as_ref().map_or("no answer".to_owned(), |a| {
            format!("{} {}", a.status, a.body.chars().take(80).collect::<String>())
        });
        self.record.line(&format!("client {method} {id}: {shown}"));
        answer
    }

    /// Hands a job in, with up to four retries after no clear answer. Returns whether it was accepted.
    pub fn submit(&self, queue: &Queue, id: &str, body: &str) -> bool {
        for front in 0..5 {
            match self.client(front, "POST", queue, id, body) {
                Some(answer) if answer.status / 100 == 2 => return true,
                Some(answer) if [400, 401, 404, 413].contains(&answer.status) => return false,
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// The state of a job as a client sees it: its word, or the status if that is not 200.
    pub fn state(&self, queue: &Queue, id: &str) -> String {
        for front in 0..6 {
            match self.client(front, "GET", queue, id, "") {
                Some(answer) if answer.status == 200 => {
                    return Json::parse(&answer.body)
                        .map_or(String::new(), |body| body.text("State"));
                }
                Some(answer) if answer.status < 500 => return answer.status.to_string(),
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        "no answer".to_owned()
    }

    /// The processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let children = self.children.iter_mut();
        let ended = children.filter_map(|(name, child)| match child.try_wait() {
            Ok(Some(status)) => Some(format!("{name} ({status})")),
            _ => None,
        });
        ended.collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            drop(child.kill());
            drop(child.wait());
        }
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.dir));
        } else {
            println!("logs are in {}", self.dir.display());
        }
    }
}

/// The command of a role in the deploy file.
fn command_of(role: &str) -> Result<String, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|e| format!("deploy file: {e}"))?;
    let section = text.split(&format!("[roles.{role}]")).nth(1).ok_or("no such role")?;
    let line = section.lines().find_map(|line| line.strip_prefix("run = "));
    Ok(line.ok_or("the role has no command")?.trim_matches('"').to_owned())
}

/// The second and third byte of loopback addresses of which no needed port is in use.
fn free_net() -> Option<[u8; 2]> {
    let seed =
        std::process::id() ^ SystemTime::now().duration_since(UNIX_EPOCH).ok()?.subsec_nanos();
    (0..200_u32).find_map(|at| {
        let mixed = seed.wrapping_add(at).wrapping_mul(2_654_435_761);
        let net = [(mixed >> 24) as u8 | 1, (mixed >> 16) as u8];
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host));
        let is_free = |host: u8, port: u16| TcpListener::bind((ip(host), port)).is_ok();
        let are_free = CONTROLS.iter().all(|host| {
            is_free(*host, CONTROL)
                && is_free(*host, LINK + 1)
                && UdpSocket::bind((ip(*host), LINK)).is_ok()
        });
        let are_free =
            are_free && FRONTS.iter().all(|host| is_free(*host, FRONT) && is_free(*host, READY));
        let are_free = are_free && (21..=40).all(|host| is_free(host, WORKER));
        are_free.then_some(net)
    })
}

/// A config; it has the services `pool` and `pool-2`.
pub fn config(version: u64, queues: &[Queue]) -> String {
    let routes: Vec<String> = queues
        .iter()
        .enumerate()
        .map(|(number, queue)| {
            let Queue { prefix, priority, attempts, has_advice, service, .. } = queue;
            let advice = format!(
                ",\"Advice\":{{\"DecideMs\":{DECIDE_MS},\"IntervalMs\":{INTERVAL_MS},\"ValidMs\":{VALID_MS}}}"
            );
            format!(
                "{{\"Name\":\"r-{number}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"non_idempotent\",\
                 \"TimeoutMs\":3000,\"SloMs\":1000,\"Priority\":{priority},\"Service\":\"{service}\",\"Attempts\":{attempts},\
                 \"Stretch\":3.0,\"Anonymous\":false{}}}",
                if *has_advice { &*advice } else { "" }
            )
        })
        .collect();
    let tenant = |(number, (key, guaranteed)): (usize, &(&str, u32))| {
        format!(
            "{{\"Name\":\"tenant-{number}\",\"ApiKeys\":[\"{key}\"],\"Priority\":1,\
             \"Guaranteed\":{{\"Gpu\":{guaranteed}}}}}"
        )
    };
    let tenants: Vec<String> = TENANTS.iter().enumerate().map(tenant).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\
         \"Services\":[{{\"Name\":\"pool\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"Protocol\":\"h1\",\
         \"Tls\":false,\"AdmissionCheck\":true,\"Standby\":false}},\
         {{\"Name\":\"pool-2\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"Protocol\":\"h1\",\
         \"Tls\":false,\"AdmissionCheck\":true,\"Standby\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}
