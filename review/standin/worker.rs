//! A worker as `PROTOCOL.md` describes it. The job's `Spec` tells how long each task works and what it uses, in the
//! form `ms=4000 cpu=40 mem=32 gpu=0`; a task that lasts has `ms=0`, one of a queue with advice `advice=1`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::advice::Advice;
use crate::http::{self, Request, Response};
use crate::json::{Json, quote};
use crate::record::Record;

/// How many ends one answer lists at most (`PROTOCOL.md`, "500 at a time").
const ENDS_LISTED_MAX: usize = 500;
/// The bound `MaxHoldMs`.
const HOLD_MAX_MS: u64 = 10_000;
/// The bound `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const POLL: Duration = Duration::from_millis(5);

/// What a worker has, or a task uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    pub cpu: u64,
    pub mem: u64,
    pub gpu: u64,
}

/// The capacity of each worker, as in `PROTOCOL.md`'s machines of the north cluster.
pub const CAPACITY: Room = Room { cpu: 32_000, mem: 131_072, gpu: 8 };

#[derive(Debug, Clone)]
struct Run {
    number: u64,
    /// When it is done; `None` for a task that lasts.
    due: Option<Instant>,
    room: Room,
    percent_from: Instant,
}

#[derive(Debug, Clone)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One lifetime.
#[derive(Debug)]
struct Life {
    id: String,
    born: u64,
    since: Instant,
    fence: u64,
    /// The end of the lease on its own clock.
    until: u64,
    /// The end of the last lease that has lapsed.
    lapsed: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<End>,
    /// The last run of each task that was stopped or ended here.
    outdated: BTreeMap<String, u64>,
    last_end: u64,
    seq: u64,
    /// When it will leave, once it drains.
    leaves_at: Option<Instant>,
}

impl Life {
    fn clock(&self) -> u64 {
        // It does not start at 0, like that of a machine that was up before.
        5_000 + self.since.elapsed().as_millis() as u64
    }

    fn used(&self) -> Room {
        self.running.values().fold(Room::default(), |sum, run| Room {
            cpu: sum.cpu + run.room.cpu,
            mem: sum.mem + run.room.mem,
            gpu: sum.gpu + run.room.gpu,
        })
    }
}

#[derive(Debug)]
struct State {
    life: Option<Life>,
    lives: u64,
    /// Whether nothing passes between it and all others.
    is_cut: bool,
    /// The job of which a task that lasts is to end by itself next, and how.
    ends_lasting: Option<(String, &'static str)>,
    streams: Vec<TcpStream>,
    heartbeats_acked: u64,
    /// Whether the next check-in is due at once.
    checks_in_now: bool,
}

/// A worker at an address of its own; its lifetimes follow each other there.
#[derive(Debug, Clone)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    service: &'static str,
    kind: &'static str,
    rack: String,
    zone: &'static str,
    /// Whether a new lifetime has the same id.
    keeps_id: bool,
    state: Arc<Mutex<State>>,
    /// Which starts need a ticket.
    advice: Option<Advice>,
    record: Record,
}

/// Where and what a worker is.
#[derive(Debug, Clone)]
pub struct Place {
    pub name: String,
    pub address: SocketAddr,
    pub service: &'static str,
    pub kind: &'static str,
    pub rack: String,
    pub zone: &'static str,
    pub keeps_id: bool,
    pub advice: Option<Advice>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Worker {
    /// Starts a worker that checks in with the control daemons.
    pub fn start(place: Place, controls: Vec<SocketAddr>, record: Record) -> Self {
        let state = State {
            life: None,
            lives: 0,
            is_cut: false,
            ends_lasting: None,
            streams: Vec::new(),
            heartbeats_acked: 0,
            checks_in_now: false,
        };
        let Place { name, address, service, kind, rack, zone, keeps_id, advice } = place;
        let state = Arc::new(Mutex::new(state));
        let worker =
            Self { name, address, service, kind, rack, zone, keeps_id, state, advice, record };
        worker.come_up();
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                ticking.end_what_is_due();
                thread::sleep(POLL);
            }
        });
        let beating = worker.clone();
        thread::spawn(move || beating.check_in(&controls));
        worker
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a new lifetime.
    pub fn come_up(&self) {
        let listener = (0..200).find_map(|_| {
            let bound = TcpListener::bind(self.address);
            bound.map_err(|_| thread::sleep(POLL)).ok()
        });
        let listener = listener.expect("the worker's address is free");
        listener.set_nonblocking(true).expect("a listener can be polled");
        let mut state = self.lock();
        state.lives += 1;
        let number = state.lives;
        let id = if self.keeps_id { self.name.clone() } else { format!("{}-{number}", self.name) };
        self.record.line(&format!("{id} lifetime {number} begins"));
        state.life = Some(Life {
            id,
            born: unix_ms(),
            since: Instant::now(),
            fence: 0,
            until: 0,
            lapsed: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            outdated: BTreeMap::new(),
            last_end: 0,
            seq: 0,
            leaves_at: None,
        });
        drop(state);
        let worker = self.clone();
        thread::spawn(move || worker.accept(&listener, number));
    }

    fn accept(&self, listener: &TcpListener, number: u64) {
        loop {
            if self.lock().lives != number || self.lock().life.is_none() {
                return;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            drop(stream.set_nonblocking(false));
            if let Ok(copy) = stream.try_clone() {
                self.lock().streams.push(copy);
            }
            let worker = self.clone();
            thread::spawn(move || {
                http::serve_connection(&stream, &|req| worker.handle(req, number));
            });
        }
    }

    /// The id of the present lifetime.
    pub fn id(&self) -> Option<String> {
        self.lock().life.as_ref().map(|life| life.id.clone())
    }

    /// The labels: the kind and the rack.
    pub fn labels(&self) -> [String; 2] {
        [self.kind.to_owned(), self.rack.clone()]
    }

    /// Ends the lifetime at once: all that runs is gone, and the connections are reset.
    pub fn crash(&self) {
        let mut state = self.lock();
        if let Some(life) = state.life.take() {
            self.record.line(&format!(
                "{} ends at once, {} run(s) gone",
                life.id,
                life.running.len()
            ));
            for (task, run) in &life.running {
                self.record.gone(&life.id, task, run.number);
            }
        }
        for stream in std::mem::take(&mut state.streams) {
            drop(stream.shutdown(std::net::Shutdown::Both));
        }
    }

    /// Cuts the worker off from all others, without a reset, or joins it again. Its tasks work on.
    pub fn set_cut(&self, is_cut: bool) {
        let mut state = self.lock();
        state.is_cut = is_cut;
        let what = if is_cut { "is cut off" } else { "is joined again" };
        self.record.line(&format!("{} {what}", self.name));
        if !is_cut {
            // What was under way is lost with its connection.
            for stream in std::mem::take(&mut state.streams) {
                drop(stream.shutdown(std::net::Shutdown::Both));
            }
        }
    }

    /// Lets the running task of a job that lasts end in this way.
    pub fn end_lasting(&self, job: &str, how: &'static str) {
        self.lock().ends_lasting = Some((job.to_owned(), how));
    }

    /// Drains: it checks in as draining at once, and leaves after this time.
    pub fn drain(&self, for_time: Duration) {
        let mut state = self.lock();
        if let Some(life) = state.life.as_mut() {
            life.leaves_at = Some(Instant::now() + for_time);
            self.record.line(&format!("{} drains", life.id));
        }
        state.checks_in_now = true;
    }

    /// Whether a task of a job runs.
    pub fn runs(&self, job: &str) -> bool {
        let state = self.lock();
        state
            .life
            .as_ref()
            .is_some_and(|life| life.running.keys().any(|task| task.starts_with(job)))
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        self.lock().life.as_ref().map_or(0, |life| life.running.len())
    }

    /// How many check-ins were acknowledged.
    pub fn heartbeats_acked(&self) -> u64 {
        self.lock().heartbeats_acked
    }

    fn check_in(&self, controls: &[SocketAddr]) {
        let mut at = 0;
        let mut beaten = (0, Instant::now());
        loop {
            thread::sleep(POLL);
            let mut state = self.lock();
            let (lives, is_cut) = (state.lives, state.is_cut);
            let is_asked = std::mem::take(&mut state.checks_in_now);
            let Some(life) = state.life.as_mut().filter(|_| !is_cut) else { continue };
            let leaves = life.leaves_at.is_some_and(|at| at <= Instant::now());
            let is_due = beaten.0 != lives || beaten.1.elapsed() >= HEARTBEAT;
            if !is_due && !is_asked && !leaves {
                continue;
            }
            life.seq += 1;
            let (id, address, service) = (life.id.clone(), self.address, self.service);
            let now = Instant::now();
            let state_word = if life.leaves_at.is_some() { "draining" } else { "ready" };
            let drain_left = life.leaves_at.map_or(String::new(), |at| {
                format!(",\"DrainLeftMs\":{}", at.saturating_duration_since(now).as_millis())
            });
            let body = format!(
                "{{\"Service\":\"{service}\",\"Addr\":\"{address}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":8,\
                 \"State\":\"{state_word}\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":{}}},\
                 \"Labels\":[\"{}\",\"{}\"],\"ClockMs\":{},\"Seq\":{},\"born\":{},\"Machine\":\"m-{}\"{drain_left}}}",
                self.zone,
                CAPACITY.cpu,
                CAPACITY.mem,
                CAPACITY.gpu,
                self.kind,
                self.rack,
                life.clock(),
                life.seq,
                life.born,
                self.name
            );
            let leave = format!("{{\"born\":{}}}", life.born);
            drop(state);
            let control = controls[at % controls.len()];
            if leaves {
                let path = format!("/instances/{id}/leave");
                let answer =
                    http::call(control, "POST", &path, &[], &leave, Duration::from_secs(1));
                self.record.line(&format!("{id} leaves: {:?}", answer.map(|(status, _)| status)));
                self.crash();
                continue;
            }
            let path = format!("/instances/{id}/heartbeat");
            let answer = http::call(control, "POST", &path, &[], &body, Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status / 100 == 2) {
                beaten = (lives, Instant::now());
                self.lock().heartbeats_acked += 1;
            } else {
                at += 1;
            }
        }
    }

    fn end_what_is_due(&self) {
        let mut state = self.lock();
        let ends_lasting = state.ends_lasting.take();
        let Some(life) = state.life.as_mut() else { return };
        let now = Instant::now();
        let due: Vec<String> = life
            .running
            .iter()
            .filter(|(_, run)| run.due.is_some_and(|due| due <= now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.end(life, &task, "done");
        }
        if let Some((job, how)) = ends_lasting {
            let of_job = life.running.iter();
            let of_job = of_job.filter(|(task, run)| task.starts_with(&job) && run.due.is_none());
            for task in of_job.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
                self.end(life, &task, how);
            }
        }
        if life.clock() > life.until && life.lapsed != life.until {
            life.lapsed = life.until;
            self.record.lapsed(&life.id);
            for task in life.running.keys().cloned().collect::<Vec<_>>() {
                self.end(life, &task, "lapsed");
            }
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else { return };
        life.last_end += 1;
        life.outdated.insert(task.to_owned(), run.number);
        let end = End { number: life.last_end, task: task.to_owned(), run: run.number, how };
        self.record.ended(&life.id, &end.task, end.run, how, end.number);
        life.ended.push(end);
    }

    fn handle(&self, req: &Request, number: u64) -> Response {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        if self.is_away(number) {
            return self.swallow(number);
        }
        let expected = req.header("X-Expect-Instance");
        {
            let state = self.lock();
            let Some(life) = state.life.as_ref() else { return Response::Close };
            if !expected.is_empty() && expected != life.id {
                return answer(life, 421, "");
            }
        }
        let response = match req.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body, number),
            "/pace" => self.with_life(|life| answer(life, 200, "")),
            _ => Response::Answer(200, "{}".to_owned()),
        };
        if self.is_away(number) { self.swallow(number) } else { response }
    }

    /// Whether nothing that belongs to this lifetime passes now.
    fn is_away(&self, number: u64) -> bool {
        let state = self.lock();
        state.is_cut || state.life.is_none() || state.lives != number
    }

    /// Stays silent until the cut is over or the lifetime has ended.
    fn swallow(&self, number: u64) -> Response {
        while self.lock().is_cut && self.lock().lives == number {
            thread::sleep(POLL);
        }
        Response::Close
    }

    fn with_life(&self, act: impl FnOnce(&mut Life) -> Response) -> Response {
        self.lock().life.as_mut().map_or(Response::Close, act)
    }

    fn start_run(&self, body: &Json) -> Response {
        self.with_life(|life| {
            let (task, run) = (body.text("Task"), body.number("Run"));
            let (fence, until, spec) =
                (body.number("Fence"), body.number("UntilMs"), body.text("Spec"));
            if fence < life.fence {
                return refuse(life, "fence");
            }
            life.fence = fence;
            if life.running.get(&task).is_some_and(|known| known.number == run) {
                return answer(life, 200, "");
            }
            let is_outdated = life.outdated.get(&task).is_some_and(|last| *last >= run)
                || life.running.get(&task).is_some_and(|known| known.number >= run);
            if is_outdated {
                extend(life, until);
                return refuse(life, "old");
            }
            if until <= life.clock() {
                return refuse(life, "late");
            }
            let value = |name: &str| {
                let found = spec.split(' ').find_map(|part| part.strip_prefix(name)?.parse().ok());
                found.unwrap_or(0_u64)
            };
            let room = Room { cpu: value("cpu="), mem: value("mem="), gpu: value("gpu=") };
            let used = life.used();
            let fits = used.cpu + room.cpu <= CAPACITY.cpu
                && used.mem + room.mem <= CAPACITY.mem
                && used.gpu + room.gpu <= CAPACITY.gpu;
            let is_ticket_valid =
                |advice: &Advice| advice.allows(&life.id, &task, &body.text("Ticket"));
            if value("advice=") > 0 && !self.advice.as_ref().is_some_and(is_ticket_valid) {
                return refuse(life, "ticket");
            }
            extend(life, until);
            if !fits {
                return refuse(life, "room");
            }
            let now = Instant::now();
            let due =
                Some(value("ms=")).filter(|ms| *ms > 0).map(|ms| now + Duration::from_millis(ms));
            self.record.started(&life.id, &task, run);
            life.running.insert(task, Run { number: run, due, room, percent_from: now });
            answer(life, 200, "")
        })
    }

    fn stop_run(&self, body: &Json) -> Response {
        self.with_life(|life| {
            let (task, run, fence) = (body.text("Task"), body.number("Run"), body.number("Fence"));
            if fence < life.fence {
                return refuse(life, "fence");
            }
            life.fence = fence;
            self.record.line(&format!("{} is told to stop {task} run {run}", life.id));
            if life.running.get(&task).is_some_and(|known| known.number <= run) {
                self.end(life, &task, "stopped");
            }
            let last = life.outdated.entry(task).or_insert(0);
            *last = (*last).max(run);
            answer(life, 200, "")
        })
    }

    fn hold(&self, body: &Json, number: u64) -> Response {
        let deadline = Instant::now() + Duration::from_millis(body.number("WaitMs").min(2_000));
        let refused = self.with_life(|life| {
            if body.number("Fence") < life.fence {
                return refuse(life, "fence");
            }
            life.fence = body.number("Fence");
            extend(life, body.number("UntilMs"));
            let upto = body.number("AckedUpto");
            for end in life.ended.iter().filter(|end| end.number <= upto) {
                self.record.noted(&life.id, &end.task, end.run, end.how, end.number);
            }
            life.ended.retain(|end| end.number > upto);
            Response::Close
        });
        if matches!(refused, Response::Answer(..)) {
            return refused;
        }
        loop {
            if self.is_away(number) {
                return Response::Close;
            }
            let has_ends = self.lock().life.as_ref().is_some_and(|life| !life.ended.is_empty());
            if has_ends || Instant::now() >= deadline {
                return self.with_life(|life| listing(life));
            }
            thread::sleep(POLL);
        }
    }
}

/// Extends the lease; it never shortens, and no lease is longer than the maximum.
fn extend(life: &mut Life, until: u64) {
    life.until = life.until.max(until.min(life.clock() + HOLD_MAX_MS));
}

fn answer(life: &Life, status: u16, fields: &str) -> Response {
    let body = format!("{{\"ClockMs\":{},\"born\":{}{fields}}}", life.clock(), life.born);
    Response::Answer(status, body)
}

fn refuse(life: &Life, reason: &str) -> Response {
    answer(life, 409, &format!(",\"Reason\":{}", quote(reason)))
}

fn listing(life: &Life) -> Response {
    let running: Vec<String> = life
        .running
        .iter()
        .map(|(task, run)| {
            let worked = run.percent_from.elapsed().as_millis();
            let percent = run.due.map_or(100, |due| {
                let whole = due.duration_since(run.percent_from).as_millis().max(1);
                (worked * 100 / whole).min(99)
            });
            format!("[{},{},\"\",{percent},{}]", quote(task), run.number, run.room.cpu)
        })
        .collect();
    let ended: Vec<String> = life
        .ended
        .iter()
        .take(ENDS_LISTED_MAX)
        .map(|end| {
            format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how)
        })
        .collect();
    let lists = format!(",\"Running\":[{}],\"Ended\":[{}]", running.join(","), ended.join(","));
    answer(life, 200, &lists)
}
