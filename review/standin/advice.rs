//! The service that decides which workers may run a step (`POST /advise`).

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::{self, Request, Response};
use crate::json::{Json, quote};
use crate::record::Record;

/// A queue's `Advice`.
pub const DECIDE_MS: u64 = 100;
pub const INTERVAL_MS: u64 = 5;
pub const VALID_MS: u64 = 3_000;

#[derive(Debug, Default)]
struct State {
    /// The workers that may run the steps of a job; all workers may run those of other jobs.
    policy: BTreeMap<String, Vec<String>>,
    /// How often each step was asked about.
    calls: BTreeMap<String, u64>,
}

/// The service; clones share its state.
#[derive(Debug, Clone)]
pub struct Advice {
    state: Arc<Mutex<State>>,
    /// Held while a call is served: there is one calling machine at a time, and its calls are served in turn.
    turn: Arc<Mutex<()>>,
    record: Record,
}

impl Advice {
    /// Starts to serve at an address.
    pub fn start(at: SocketAddr, record: Record) -> Self {
        let advice = Self { state: Arc::default(), turn: Arc::default(), record };
        let listener = TcpListener::bind(at).expect("the address of the advice is free");
        let serving = advice.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || http::serve_connection(&stream, &|req| serving.handle(req)));
            }
        });
        advice
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets only some workers run the steps of a job.
    pub fn restrict(&self, job: &str, workers: &[&str]) {
        let workers = workers.iter().map(|worker| (*worker).to_owned()).collect();
        self.lock().policy.insert(job.to_owned(), workers);
    }

    /// How often the steps of a job were asked about.
    pub fn calls(&self, job: &str) -> u64 {
        let state = self.lock();
        state.calls.iter().filter(|(step, _)| step.starts_with(job)).map(|(_, count)| count).sum()
    }

    fn may_run(&self, worker: &str, step: &str) -> bool {
        let job = step.split('.').next().unwrap_or_default();
        self.lock()
            .policy
            .get(job)
            .is_none_or(|workers| workers.iter().any(|known| known == worker))
    }

    /// Whether a start of a task may carry this ticket on a worker.
    pub fn allows(&self, worker: &str, task: &str, ticket: &str) -> bool {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        self.may_run(worker, step) && ticket == ticket_of(worker, step)
    }

    fn handle(&self, req: &Request) -> Response {
        let _turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let step = body.text("Step");
        let workers: Vec<String> = match body.get("Workers") {
            Some(Json::List(workers)) => workers
                .iter()
                .filter_map(|worker| match worker {
                    Json::Text(worker) => Some(worker.clone()),
                    _ => None,
                })
                .collect(),
            _ => Vec::new(),
        };
        *self.lock().calls.entry(step.clone()).or_insert(0) += 1;
        let count = workers.len() as u64;
        thread::sleep(Duration::from_millis(DECIDE_MS + INTERVAL_MS * count));
        let allowed: Vec<&String> =
            workers.iter().filter(|worker| self.may_run(worker, &step)).collect();
        self.record
            .line(&format!("advice on {step}: asked about {count}, allowed {}", allowed.len()));
        let rows = allowed
            .iter()
            .map(|worker| format!("[{},{}]", quote(worker), quote(&ticket_of(worker, &step))));
        let rows = rows.collect::<Vec<_>>().join(",");
        Response::Answer(200, format!("{{\"Allowed\":[{rows}],\"ValidMs\":{VALID_MS}}}"))
    }
}

fn ticket_of(worker: &str, step: &str) -> String {
    format!("{worker}-{step}")
}
