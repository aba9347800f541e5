//! The leases that an upstream holds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hg_model::{LeaseId, LeaseOrder, LeaseState, Resources, Term};
use tokio::sync::watch;

/// How long a lease that has ended is remembered.
const REMEMBER: Duration = Duration::from_secs(3_600);

/// A lease as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Its state.
    pub state: LeaseState,
    /// The answer, or the reason of a failure.
    pub content: Bytes,
}

#[derive(Debug)]
struct Lease {
    order: LeaseOrder,
    view: watch::Sender<View>,
    since: Instant,
}

/// All leases, with the room that they take.
#[derive(Debug)]
pub struct Leases {
    boot: u64,
    capacity: Resources,
    slots: u32,
    leases: Mutex<Table>,
}

/// The leases by id, with those that are still open apart.
#[derive(Debug, Default)]
struct Table {
    leases: BTreeMap<LeaseId, Lease>,
    open: BTreeSet<LeaseId>,
    untold: BTreeSet<LeaseId>,
    ended: VecDeque<(Instant, LeaseId)>,
}

impl Leases {
    /// No leases yet.
    pub const fn new(boot: u64, capacity: Resources, slots: u32) -> Self {
        Self { boot, capacity, slots, leases: Mutex::new(Table::new()) }
    }

    /// The number of this start of the process.
    pub const fn boot(&self) -> u64 {
        self.boot
    }

    /// Keeps room for a lease.
    pub fn prepare(&self, id: &LeaseId, order: &LeaseOrder) -> View {
        let mut table = self.lock();
        if self.is_refused(&table, id, order) {
            return table.look(id);
        }
        if table.look(id).state == LeaseState::Unknown && self.has_room(&table, order) {
            table.insert(id, order, LeaseState::Prepared);
        }
        table.look(id)
    }

    /// Starts a lease. Returns its state, and whether it was this call that started it.
    pub fn start(&self, id: &LeaseId, order: &LeaseOrder) -> (View, bool) {
        let mut table = self.lock();
        if self.is_refused(&table, id, order) {
            return (table.look(id), false);
        }
        let started = match table.look(id).state {
            LeaseState::Unknown if self.has_room(&table, order) => {
                table.insert(id, order, LeaseState::Running);
                true
            }
            LeaseState::Unknown => {
                table.insert(id, order, LeaseState::Fenced);
                false
            }
            LeaseState::Prepared => {
                table.set(id, LeaseState::Running, Bytes::new());
                true
            }
            _ => false,
        };
        (table.look(id), started)
    }

    /// Sees to it that a lease which has not started never will.
    pub fn release(&self, id: &LeaseId, order: &LeaseOrder) -> View {
        let mut table = self.lock();
        if order.boot.is_some_and(|boot| boot != self.boot) {
            return table.look(id);
        }
        match table.look(id).state {
            LeaseState::Unknown => table.insert(id, order, LeaseState::Fenced),
            LeaseState::Prepared => table.set(id, LeaseState::Fenced, Bytes::new()),
            _ => {}
        }
        table.look(id)
    }

    /// Stops a lease in whatever state it is.
    pub fn stop(&self, id: &LeaseId, order: &LeaseOrder) -> View {
        let view = self.release(id, order);
        if view.state == LeaseState::Running {
            return self.end(id, LeaseState::Stopped, Bytes::new());
        }
        view
    }

    /// Ends a running lease; one that was stopped before stays so.
    pub fn end(&self, id: &LeaseId, state: LeaseState, content: Bytes) -> View {
        let mut table = self.lock();
        if table.look(id).state == LeaseState::Running {
            table.set(id, state, content);
        }
        table.look(id)
    }

    /// Forgets an answer that was fetched.
    pub fn acknowledge(&self, id: &LeaseId) {
        let mut table = self.lock();
        if table.look(id).state == LeaseState::Done {
            table.untold.remove(id);
            table.leases.remove(id);
        }
    }

    /// The state of a lease.
    pub fn look(&self, id: &LeaseId) -> View {
        self.lock().look(id)
    }

    /// Waits a while for a lease to end.
    pub async fn wait(&self, id: &LeaseId, limit: Duration) -> View {
        let rx = self.lock().leases.get(id).map(|lease| lease.view.subscribe());
        if let Some(mut rx) = rx {
            let ended = rx.wait_for(|view| view.state != LeaseState::Running);
            drop(tokio::time::timeout(limit, ended).await);
        }
        self.look(id)
    }

    /// Notes that somebody has been told how a lease ended.
    pub fn note_told(&self, id: &LeaseId) {
        self.lock().untold.remove(id);
    }

    /// All leases that are not over, and those whose end nobody has been told.
    pub fn held(&self) -> (Vec<LeaseId>, Vec<LeaseId>) {
        let table = self.lock();
        (table.open.iter().cloned().collect(), table.untold.iter().cloned().collect())
    }

    /// Whether nothing runs and nothing is prepared.
    pub fn is_idle(&self) -> bool {
        self.lock().open.is_empty()
    }

    fn is_refused(&self, table: &Table, id: &LeaseId, order: &LeaseOrder) -> bool {
        let seen = table.leases.get(id).map_or(Term(0), |lease| lease.order.term);
        order.term < seen || order.boot.is_some_and(|boot| boot != self.boot)
    }

    fn has_room(&self, table: &Table, order: &LeaseOrder) -> bool {
        let (mut used, mut slots) = (order.per_task.times(order.tasks), order.tasks);
        for lease in table.open.iter().filter_map(|id| table.leases.get(id)) {
            used = used.plus(&lease.order.per_task.times(lease.order.tasks));
            slots += lease.order.tasks;
        }
        used.fits(&self.capacity) && slots <= self.slots
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        let mut table = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        table.lapse();
        table
    }
}

impl Table {
    const fn new() -> Self {
        Self {
            leases: BTreeMap::new(),
            open: BTreeSet::new(),
            untold: BTreeSet::new(),
            ended: VecDeque::new(),
        }
    }

    fn look(&self, id: &LeaseId) -> View {
        let unknown = || View { state: LeaseState::Unknown, content: Bytes::new() };
        self.leases.get(id).map_or_else(unknown, |lease| lease.view.borrow().clone())
    }

    fn insert(&mut self, id: &LeaseId, order: &LeaseOrder, state: LeaseState) {
        let view = watch::Sender::new(View { state, content: Bytes::new() });
        let lease = Lease { order: order.clone(), view, since: Instant::now() };
        self.leases.insert(id.clone(), lease);
        self.file(id, state);
    }

    fn set(&mut self, id: &LeaseId, state: LeaseState, content: Bytes) {
        let Some(lease) = self.leases.get_mut(id) else { return };
        lease.since = Instant::now();
        lease.view.send_replace(View { state, content });
        self.file(id, state);
    }

    /// Puts a lease among the open, the untold or the ended ones.
    fn file(&mut self, id: &LeaseId, state: LeaseState) {
        if matches!(state, LeaseState::Prepared | LeaseState::Running) {
            self.open.insert(id.clone());
            return;
        }
        self.open.remove(id);
        self.ended.push_back((Instant::now(), id.clone()));
        if matches!(state, LeaseState::Done | LeaseState::Failed) {
            self.untold.insert(id.clone());
        }
    }

    /// Prepared leases lapse without a start; ended ones are forgotten some day.
    fn lapse(&mut self) {
        let is_over = |lease: &Lease| {
            let kept = Duration::from_millis(lease.order.prepared_ms);
            lease.view.borrow().state == LeaseState::Prepared && lease.since.elapsed() >= kept
        };
        let over: Vec<LeaseId> = self
            .open
            .iter()
            .filter(|id| self.leases.get(id).is_some_and(is_over))
            .cloned()
            .collect();
        for id in over {
            self.set(&id, LeaseState::Fenced, Bytes::new());
        }
        while self.ended.front().is_some_and(|(at, _)| at.elapsed() >= REMEMBER) {
            if let Some((_, id)) = self.ended.pop_front() {
                self.leases.remove(&id);
                self.untold.remove(&id);
            }
        }
    }
}
