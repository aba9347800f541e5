//! A stand-in of a worker: it carries out orders, and reports itself to the daemons that serve control.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response};
use crate::json::{Json, quoted};
use crate::runs::Runs;

/// `MaxHoldMs` of the settings.
const LEASE_MAX_MS: u64 = 10_000;
/// A stop takes this long; `StopMs` of the settings is 400.
const STOP_MS: u64 = 100;
/// `FarFactor` of the settings: how much longer a task takes away from the rack of its data.
const FAR_FACTOR: u64 = 3;
/// `HeartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// A check-in that is not answered within this time goes to the next daemon.
const HEARTBEAT_LIMIT: Duration = Duration::from_millis(1_000);
/// What the clock of a life reads at its start.
const CLOCK_AT_START_MS: u64 = 100;

/// What stays the same over the lives of a worker's machine.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub address: SocketAddr,
    pub cpu: u64,
}

#[derive(Debug)]
struct Running {
    run: u64,
    until_ms: u64,
    began_at_ms: u64,
    done_at_ms: u64,
    cpu: u64,
    stopping_until_ms: Option<u64>,
}

#[derive(Debug)]
struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of a worker.
#[derive(Debug)]
struct Life {
    id: String,
    born_ms: u64,
    started: Instant,
    fence: u64,
    sequence: u64,
    next_end: u64,
    running: BTreeMap<String, Running>,
    ended: Vec<Ended>,
    /// The highest run of each task that was stopped or ended here.
    highest: BTreeMap<String, u64>,
    /// How many check-ins of this life were acknowledged.
    acknowledged: u64,
}

#[derive(Debug)]
struct State {
    /// `None` while the machine is down.
    life: Option<Life>,
    /// Whether the machine is cut off from everything else.
    is_cut: bool,
    /// Whether the worker says that it leaves.
    is_draining: bool,
}

/// A machine with its worker.
#[derive(Debug, Clone)]
pub struct Worker {
    pub machine: Machine,
    service: String,
    runs: Runs,
    state: Arc<Mutex<State>>,
}

impl Life {
    fn new(id: &str) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            id: id.to_owned(),
            born_ms: born.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            sequence: 0,
            next_end: 1,
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest: BTreeMap::new(),
            acknowledged: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        CLOCK_AT_START_MS + self.started.elapsed().as_millis() as u64
    }

    fn end(&mut self, runs: &Runs, task: &str, how: &'static str) {
        let Some(running) = self.running.remove(task) else { return };
        runs.end(&self.id, task, running.run, how);
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(running.run);
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push(Ended { number, task: task.to_owned(), run: running.run, how });
    }

    /// Ends what is due.
    fn tick(&mut self, runs: &Runs) {
        let now = self.clock_ms();
        let due: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = match run.stopping_until_ms {
                    Some(until) if now >= until => "stopped",
                    None if now >= run.done_at_ms => "done",
                    _ if now >= run.until_ms => "lapsed",
                    _ => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end(runs, &task, how);
        }
    }

    /// Extends the lease of everything that runs; it never shortens.
    fn extend(&mut self, until_ms: u64) {
        let until = until_ms.min(self.clock_ms() + LEASE_MAX_MS);
        for run in self.running.values_mut() {
            run.until_ms = run.until_ms.max(until);
        }
    }

    fn lists(&self) -> String {
        let now = self.clock_ms();
        let running: Vec<String> = self
            .running
            .iter()
            .map(|(task, run)| {
                let whole = run.done_at_ms.saturating_sub(run.began_at_ms).max(1);
                let percent = (now.saturating_sub(run.began_at_ms) * 100 / whole).min(100);
                format!("[{},{},\"\",{percent},{}]", quoted(task), run.run, run.cpu)
            })
            .collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .map(|e| format!("[{},{},{},\"{}\",\"\"]", e.number, quoted(&e.task), e.run, e.how))
            .collect();
        format!(
            "{{\"ClockMs\":{now},\"born\":{},\"Running\":[{}],\"Ended\":[{}]}}",
            self.born_ms,
            running.join(","),
            ended.join(",")
        )
    }

    fn start(&mut self, runs: &Runs, machine: &Machine, body: &Json) -> Response {
        let (task, run) = (body.text("Task").unwrap_or(""), body.number("Run").unwrap_or(0));
        let (until, now) = (body.number("UntilMs").unwrap_or(0), self.clock_ms());
        let refuse = |reason| (409, format!("{{\"ClockMs\":{now},\"Reason\":\"{reason}\"}}"));
        if self.running.get(task).is_some_and(|known| known.run == run) {
            self.extend(until);
            return (200, format!("{{\"ClockMs\":{now}}}"));
        }
        if until <= now {
            return refuse("late");
        }
        if self.highest.get(task).is_some_and(|highest| *highest >= run)
            || self.running.contains_key(task)
        {
            self.extend(until);
            return refuse("old");
        }
        // The content of a job is "WORK_MS CPU", and the rack of its data if it has some.
        let spec: Vec<&str> = body.text("Spec").unwrap_or("").split(' ').collect();
        let number = |at: usize| spec.get(at).and_then(|word| word.parse::<u64>().ok());
        let (work_ms, cpu) = (number(0).unwrap_or(1_000), number(1).unwrap_or(1_000));
        let is_far = spec.get(2).is_some_and(|rack| *rack != machine.rack);
        let work_ms = if is_far { work_ms * FAR_FACTOR } else { work_ms };
        let used: u64 = self.running.values().map(|run| run.cpu).sum();
        if used + cpu > machine.cpu {
            self.extend(until);
            return refuse("room");
        }
        runs.start(&self.id, task, run);
        let until_ms = until.min(now + LEASE_MAX_MS);
        let done_at_ms = now + work_ms;
        let running =
            Running { run, until_ms, began_at_ms: now, done_at_ms, cpu, stopping_until_ms: None };
        self.running.insert(task.to_owned(), running);
        (200, format!("{{\"ClockMs\":{now}}}"))
    }

    fn stop(&mut self, body: &Json) -> Response {
        let (task, run) = (body.text("Task").unwrap_or(""), body.number("Run").unwrap_or(0));
        let now = self.clock_ms();
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
        if let Some(running) = self.running.get_mut(task).filter(|known| known.run <= run) {
            running.stopping_until_ms.get_or_insert(now + STOP_MS);
        }
        (200, format!("{{\"ClockMs\":{now}}}"))
    }
}

impl Worker {
    /// Starts the first life of a worker.
    pub fn start(
        machine: Machine,
        service: &str,
        id: &str,
        controls: Vec<SocketAddr>,
        runs: &Runs,
    ) -> io::Result<Self> {
        let state = State { life: Some(Life::new(id)), is_cut: false, is_draining: false };
        let worker = Self {
            machine,
            service: service.to_owned(),
            runs: runs.clone(),
            state: Arc::new(Mutex::new(state)),
        };
        let server = worker.clone();
        let life = worker.clone();
        http::serve_while(
            worker.machine.address,
            Arc::new(move |request| server.answer(request)),
            Arc::new(move || life.id().is_some()),
        )?;
        let ticker = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                if let Some(life) = &mut ticker.lock().life {
                    life.tick(&ticker.runs);
                }
            }
        });
        let reporter = worker.clone();
        thread::spawn(move || reporter.report(&controls));
        Ok(worker)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// The id of the present life; `None` while the machine is down.
    pub fn id(&self) -> Option<String> {
        self.lock().life.as_ref().map(|life| life.id.clone())
    }

    /// Whether a check-in of the present life was acknowledged.
    pub fn is_known(&self) -> bool {
        self.lock().life.as_ref().is_some_and(|life| life.acknowledged > 0)
    }

    /// How many check-ins of the present life were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.lock().life.as_ref().map_or(0, |life| life.acknowledged)
    }

    /// How many tasks run.
    pub fn running_count(&self) -> usize {
        self.lock().life.as_ref().map_or(0, |life| life.running.len())
    }

    /// Ends the present life with everything that runs.
    pub fn take_down(&self) {
        let mut state = self.lock();
        let Some(mut life) = state.life.take() else { return };
        let tasks: Vec<String> = life.running.keys().cloned().collect();
        for task in tasks {
            life.end(&self.runs, &task, "ended with the worker");
        }
        self.runs
            .record
            .line(format!("world {} is down: {} has ended", self.machine.name, life.id));
    }

    /// Begins a new life.
    pub fn bring_up(&self, id: &str) {
        self.lock().life = Some(Life::new(id));
        self.runs.record.line(format!("world {} is up: {id} begins", self.machine.name));
    }

    /// Cuts the machine off from everything else, or ends that.
    pub fn set_cut(&self, is_cut: bool) {
        self.lock().is_cut = is_cut;
        let what = if is_cut { "is cut off" } else { "is reachable again" };
        self.runs.record.line(format!("world {} {what}", self.machine.name));
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let wait = Duration::from_millis(body.number("WaitMs").unwrap_or(0));
        let began = Instant::now();
        let (mut first_life, mut is_extended) = (None, false);
        loop {
            let mut state = self.lock();
            if state.is_cut {
                // What is sent into a partition is lost, and nothing tells the sender.
                drop(state);
                self.wait_for_end_of_cut();
                return None;
            }
            let life = state.life.as_mut()?;
            if *first_life.get_or_insert(life.born_ms) != life.born_ms {
                // The life that received the request has ended.
                return None;
            }
            if request.header("X-Expect-Instance").is_some_and(|id| id != life.id) {
                return Some((421, "{}".to_owned()));
            }
            let fence = body.number("Fence").unwrap_or(0);
            if fence < life.fence {
                let now = life.clock_ms();
                return Some((409, format!("{{\"ClockMs\":{now},\"Reason\":\"fence\"}}")));
            }
            life.fence = fence;
            match request.path.as_str() {
                "/run-start" => {
                    let response = life.start(&self.runs, &self.machine, &body);
                    self.record_order(&life.id, request, &response);
                    return Some(response);
                }
                "/run-stop" => {
                    let response = life.stop(&body);
                    self.record_order(&life.id, request, &response);
                    return Some(response);
                }
                "/pace" => return Some((200, format!("{{\"ClockMs\":{}}}", life.clock_ms()))),
                "/hold" => {}
                _ => return Some((200, "{}".to_owned())),
            }
            let acked = body.number("AckedUpto").unwrap_or(0);
            life.ended.retain(|end| end.number > acked);
            if let Some(until) = body.number("UntilMs").filter(|_| !is_extended) {
                life.extend(until);
                is_extended = true;
            }
            if !life.ended.is_empty() || began.elapsed() >= wait {
                let response = (200, life.lists());
                self.record_order(&life.id, request, &response);
                return Some(response);
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Records an order and its answer.
    fn record_order(&self, id: &str, request: &Request, response: &Response) {
        let (path, body) = (&request.path, &request.body);
        self.runs.record.line(format!("order {id} {path} {body}: {response:?}"));
    }

    fn wait_for_end_of_cut(&self) {
        while self.lock().is_cut {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends check-ins; after one that fails, the next daemon is called.
    fn report(&self, controls: &[SocketAddr]) {
        let mut at = self.machine.address.port() as usize + self.machine.name.len();
        let mut preferred: Option<SocketAddr> = None;
        loop {
            let Some((id, body)) = self.check_in() else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            let control = preferred.unwrap_or(controls[at % controls.len()]);
            let path = format!("/instances/{id}/heartbeat");
            let answer = http::call(control, "POST", &path, &[], &body, HEARTBEAT_LIMIT);
            let shown = answer.as_ref().map(|response| response.0).map_err(ToString::to_string);
            self.runs.record.line(format!("beat  {id} to {control}: {shown:?}"));
            match answer {
                Ok((200, text)) => {
                    let mut state = self.lock();
                    let life = state.life.as_mut().filter(|life| life.id == id);
                    if let Some(life) = life {
                        if life.acknowledged == 0 {
                            self.runs
                                .record
                                .line(format!("beat  first check-in of {id} is acknowledged"));
                        }
                        life.acknowledged += 1;
                    }
                    drop(state);
                    let next = Json::parse(&text);
                    let next = next.as_ref().and_then(|json| json.text("HeartbeatAddr"));
                    preferred = next.and_then(|address| address.parse().ok());
                    let until = Instant::now() + HEARTBEAT;
                    // A new life checks in at once.
                    while Instant::now() < until && self.id().as_deref() == Some(id.as_str()) {
                        thread::sleep(Duration::from_millis(10));
                    }
                }
                _ => {
                    preferred = None;
                    at += 1;
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
    }

    /// The body of a check-in; `None` while nothing can be sent.
    fn check_in(&self) -> Option<(String, String)> {
        let mut state = self.lock();
        if state.is_cut {
            return None;
        }
        let word = if state.is_draining { "draining" } else { "ready" };
        let life = state.life.as_mut()?;
        life.sequence += 1;
        let Machine { name, zone, kind, rack, address, cpu } = &self.machine;
        let body = format!(
            "{{\"Service\":\"{}\",\"Addr\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"{word}\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{cpu},\"MemMb\":32768,\"Gpu\":0}},\
             \"Labels\":[\"{kind}\",\"{rack}\"],\"ClockMs\":{},\"Seq\":{},\"Machine\":\"{name}\",\"born\":{}}}",
            self.service,
            life.clock_ms(),
            life.sequence,
            life.born_ms
        );
        Some((life.id.clone(), body))
    }
}
