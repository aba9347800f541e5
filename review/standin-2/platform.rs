//! A stand-in of the platform that owns the machines.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::Json;
use crate::record::Record;
use crate::worker::Worker;

/// `MaintenanceS` of the settings.
const UPKEEP: Duration = Duration::from_secs(2);
/// How long an answer takes on a sound platform.
const ANSWER_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct State {
    workers: BTreeMap<String, Worker>,
    /// The machines that are down for upkeep.
    in_upkeep: BTreeMap<String, Instant>,
    /// The upkeeps that were ordered, by machine and wave.
    ordered: Vec<(String, u64)>,
    /// While the platform is slow: until when, and how long each answer takes.
    slow: Option<(Instant, Duration)>,
    lives: u32,
}

/// An order about a machine, as it arrived.
#[derive(Debug, Clone)]
pub struct MachineOrder {
    pub machine: String,
    pub holder: String,
    pub fence: u64,
}

/// The platform.
#[derive(Debug, Clone)]
pub struct Platform {
    record: Record,
    state: Arc<Mutex<State>>,
    orders: Arc<Mutex<Vec<MachineOrder>>>,
}

impl Platform {
    pub fn start(address: SocketAddr, record: &Record) -> io::Result<Self> {
        let state = State {
            workers: BTreeMap::new(),
            in_upkeep: BTreeMap::new(),
            ordered: Vec::new(),
            slow: None,
            lives: 0,
        };
        let platform = Self {
            record: record.clone(),
            state: Arc::new(Mutex::new(state)),
            orders: Arc::default(),
        };
        let server = platform.clone();
        http::serve(address, Arc::new(move |request| Some(server.answer(request))))?;
        Ok(platform)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Adds a machine with its worker.
    pub fn add(&self, worker: &Worker) {
        self.lock().workers.insert(worker.machine.name.clone(), worker.clone());
    }

    /// Makes answers take `delay` for a while. What is asked is carried out at once.
    pub fn slow_down(&self, span: Duration, delay: Duration) {
        self.record.line(format!("world the platform's answers take {delay:?} for {span:?}"));
        self.lock().slow = Some((Instant::now() + span, delay));
    }

    /// The orders that arrived, in their order.
    pub fn orders(&self) -> Vec<MachineOrder> {
        self.orders.lock().expect("no thread panics while it holds the lock").clone()
    }

    fn answer(&self, request: &Request) -> Response {
        let response = self.carry_out(request);
        let slow = self.lock().slow;
        let delay = slow.filter(|(until, _)| Instant::now() < *until).map(|(_, delay)| delay);
        thread::sleep(delay.unwrap_or(ANSWER_DELAY));
        if request.method == "POST" {
            self.record
                .line(format!("cloud answers {} {}: {}", request.path, request.body, response.0));
        }
        response
    }

    fn carry_out(&self, request: &Request) -> Response {
        let path = request.path.split('?').next().unwrap_or("");
        match path {
            "/machines" => (200, self.list()),
            "/machine-upkeep" => self.upkeep(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self) -> String {
        let state = self.lock();
        let rows: Vec<String> = state
            .workers
            .values()
            .map(|worker| {
                let machine = &worker.machine;
                let word = if state.in_upkeep.contains_key(&machine.name) { "upkeep" } else { "up" };
                format!(
                    "{{\"Machine\":\"{}\",\"Pool\":\"pool\",\"State\":\"{word}\",\"Zone\":\"{}\",\
                     \"Labels\":[\"{}\",\"{}\"],\"Capacity\":{{\"Cpu\":{},\"MemMb\":32768,\"Gpu\":0}},\"Id\":\"{}\"}}",
                    machine.name,
                    machine.zone,
                    machine.kind,
                    machine.rack,
                    machine.cpu,
                    worker.id().unwrap_or_default()
                )
            })
            .collect();
        format!("{{\"Machines\":[{}],\"NextToken\":\"\"}}", rows.join(","))
    }

    fn upkeep(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (name, wave) = (body.text("Machine").unwrap_or(""), body.number("Wave").unwrap_or(0));
        let holder = request.header("X-Duty-Holder").unwrap_or("").to_owned();
        let fence = request.header("X-Fence-Token").and_then(|f| f.parse().ok()).unwrap_or(0);
        self.record.line(format!(
            "cloud gets upkeep of {name} for wave {wave} from {holder} with fence {fence}"
        ));
        let order = MachineOrder { machine: name.to_owned(), holder, fence };
        self.orders.lock().expect("no thread panics while it holds the lock").push(order);
        let mut state = self.lock();
        let Some(worker) = state.workers.get(name).cloned() else {
            return (400, "{}".to_owned());
        };
        let key = (name.to_owned(), wave);
        if state.ordered.contains(&key) {
            // The operation is already done.
            return (200, "{}".to_owned());
        }
        state.ordered.push(key);
        state.in_upkeep.insert(name.to_owned(), Instant::now());
        state.lives += 1;
        let id = format!("i-life{}-{name}", state.lives);
        drop(state);
        worker.take_down();
        let (platform, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            worker.bring_up(&id);
            platform.lock().in_upkeep.remove(&name);
        });
        (200, "{}".to_owned())
    }
}
