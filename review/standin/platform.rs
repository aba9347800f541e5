//! The part of the platform that owns the machines (`GET /machines`, `POST /machine-upkeep`). It carries out a call when that
//! arrives; its answers may be slow.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::{self, Request, Response};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::worker::{CAPACITY, Worker};

/// How long an answer takes.
pub const ANSWER: Duration = Duration::from_millis(50);
/// The bound `MaintenanceS`.
const MAINTENANCE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Machine {
    worker: Worker,
    /// The waves for which its upkeep has begun, and whether that is over.
    upkeeps: BTreeMap<u64, bool>,
}

#[derive(Debug)]
struct State {
    machines: BTreeMap<String, Machine>,
    answer: Duration,
}

/// The platform; clones share its state.
#[derive(Debug, Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Platform {
    /// Starts to serve at an address.
    pub fn start(at: SocketAddr, record: Record) -> Self {
        let state = State { machines: BTreeMap::new(), answer: ANSWER };
        let platform = Self { state: Arc::new(Mutex::new(state)), record };
        let listener = TcpListener::bind(at).expect("the address of the platform is free");
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || http::serve_connection(&stream, &|req| serving.handle(req)));
            }
        });
        platform
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the machine of a worker.
    pub fn add(&self, worker: &Worker) {
        let machine = Machine { worker: worker.clone(), upkeeps: BTreeMap::new() };
        self.lock().machines.insert(format!("m-{}", worker.name), machine);
    }

    /// Sets how long answers take from now on.
    pub fn set_answer(&self, answer: Duration) {
        self.record.line(&format!("the platform's answers take {} ms", answer.as_millis()));
        self.lock().answer = answer;
    }

    /// Whether the upkeep of a machine for a wave has begun.
    pub fn has_begun(&self, machine: &str, wave: u64) -> bool {
        self.lock().machines.get(machine).is_some_and(|m| m.upkeeps.contains_key(&wave))
    }

    fn handle(&self, req: &Request) -> Response {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let response = match req.path.split('?').next().unwrap_or_default() {
            "/machines" => self.list(),
            "/machine-upkeep" => self.begin_upkeep(&body.text("Machine"), body.number("Wave"), req),
            _ => Response::Answer(400, "{}".to_owned()),
        };
        let answer = self.lock().answer;
        thread::sleep(answer);
        response
    }

    fn list(&self) -> Response {
        let state = self.lock();
        let rows = state.machines.iter().map(|(name, machine)| {
            let is_down = machine.upkeeps.values().any(|is_over| !is_over);
            let labels = machine.worker.labels().map(|label| quote(&label)).join(",");
            format!(
                "{{\"Machine\":{},\"Pool\":\"pool\",\"State\":\"{}\",\"Zone\":\"zone-a\",\"Labels\":[{labels}],\
                 \"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":{}}},\"Id\":{}}}",
                quote(name),
                if is_down { "upkeep" } else { "up" },
                CAPACITY.cpu, CAPACITY.mem, CAPACITY.gpu,
                quote(&machine.worker.id().unwrap_or_default())
            )
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        Response::Answer(200, format!("{{\"Machines\":[{rows}],\"NextToken\":null}}"))
    }

    fn begin_upkeep(&self, name: &str, wave: u64, req: &Request) -> Response {
        let holder = req.header("X-Duty-Holder").to_owned();
        let fence = req.header("X-Fence-Token").to_owned();
        let mut state = self.lock();
        let Some(machine) = state.machines.get_mut(name) else {
            return Response::Answer(400, "{}".to_owned());
        };
        if machine.upkeeps.contains_key(&wave) {
            self.record
                .line(&format!("upkeep of {name} ordered again by {holder} (fence {fence})"));
            return Response::Answer(200, "{}".to_owned());
        }
        machine.upkeeps.insert(wave, false);
        let worker = machine.worker.clone();
        self.record.line(&format!("upkeep of {name} begins, ordered by {holder} (fence {fence})"));
        worker.crash();
        let (platform, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            thread::sleep(MAINTENANCE);
            platform.record.line(&format!("upkeep of {name} is over"));
            if let Some(machine) = platform.lock().machines.get_mut(&name) {
                machine.upkeeps.insert(wave, true);
            }
            worker.come_up();
        });
        Response::Answer(200, "{}".to_owned())
    }
}
