//! The leases that an upstream holds, and the capacity that they use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hg_model::{LeaseId, LeaseOrder, LeaseState, Resources, Term};
use tokio::sync::watch;

/// How long a lease that has ended is kept.
const ENDED_RETENTION: Duration = Duration::from_secs(3_600);

/// The present state of a lease, as entries see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseView {
    /// The state.
    pub state: LeaseState,
    /// The answer of a lease that is done, or the reason of its failure; empty in all other states.
    pub content: Bytes,
}

#[derive(Debug)]
struct Lease {
    order: LeaseOrder,
    view: watch::Sender<LeaseView>,
    /// When the lease got its present state.
    state_since: Instant,
}

/// All leases of an upstream; admits new ones only within its capacity and slots.
#[derive(Debug)]
pub struct Leases {
    boot: u64,
    capacity: Resources,
    slots: u32,
    table: Mutex<Table>,
}

/// The leases by id, with indexes by state.
#[derive(Debug, Default)]
struct Table {
    leases: BTreeMap<LeaseId, Lease>,
    /// Prepared and running leases.
    open: BTreeSet<LeaseId>,
    /// Leases that are done or failed, and whose end was in no response yet.
    unreported: BTreeSet<LeaseId>,
    /// Leases that are no longer open, with the time of their end, oldest first.
    ended: VecDeque<(Instant, LeaseId)>,
}

impl Leases {
    /// Creates the table of an upstream that holds no leases.
    pub const fn new(boot: u64, capacity: Resources, slots: u32) -> Self {
        Self { boot, capacity, slots, table: Mutex::new(Table::new()) }
    }

    /// Number of this incarnation of the upstream's process.
    pub const fn boot(&self) -> u64 {
        self.boot
    }

    /// Reserves capacity for a lease.
    ///
    /// The lease stays unknown if the free capacity does not suffice.
    pub fn prepare(&self, id: &LeaseId, order: &LeaseOrder) -> LeaseView {
        let mut table = self.lock();
        if self.is_stale(&table, id, order) {
            return table.view(id);
        }
        if table.view(id).state == LeaseState::Unknown && self.has_capacity(&table, order) {
            table.insert(id, order, LeaseState::Prepared);
        }
        table.view(id)
    }

    /// Starts a lease, or fences it if it was not prepared and the free capacity does not suffice.
    ///
    /// Returns its state, and whether it was this call that started it.
    pub fn start(&self, id: &LeaseId, order: &LeaseOrder) -> (LeaseView, bool) {
        let mut table = self.lock();
        if self.is_stale(&table, id, order) {
            return (table.view(id), false);
        }
        let started = match table.view(id).state {
            LeaseState::Unknown if self.has_capacity(&table, order) => {
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
        (table.view(id), started)
    }

    /// Fences a lease that has not started, so that it never will.
    pub fn release(&self, id: &LeaseId, order: &LeaseOrder) -> LeaseView {
        let mut table = self.lock();
        if order.boot.is_some_and(|boot| boot != self.boot) {
            return table.view(id);
        }
        match table.view(id).state {
            LeaseState::Unknown => table.insert(id, order, LeaseState::Fenced),
            LeaseState::Prepared => table.set(id, LeaseState::Fenced, Bytes::new()),
            _ => {}
        }
        table.view(id)
    }

    /// Stops a running lease and fences one that has not started.
    pub fn stop(&self, id: &LeaseId, order: &LeaseOrder) -> LeaseView {
        let view = self.release(id, order);
        if view.state == LeaseState::Running {
            return self.end(id, LeaseState::Stopped, Bytes::new());
        }
        view
    }

    /// Records the end of a running lease; a lease in any other state, such as a stopped one, keeps it.
    pub fn end(&self, id: &LeaseId, state: LeaseState, content: Bytes) -> LeaseView {
        let mut table = self.lock();
        if table.view(id).state == LeaseState::Running {
            table.set(id, state, content);
        }
        table.view(id)
    }

    /// Removes a lease whose answer was fetched.
    pub fn acknowledge(&self, id: &LeaseId) {
        let mut table = self.lock();
        if table.view(id).state == LeaseState::Done {
            table.unreported.remove(id);
            table.leases.remove(id);
        }
    }

    /// The present state of a lease.
    pub fn view(&self, id: &LeaseId) -> LeaseView {
        self.lock().view(id)
    }

    /// Waits while a lease runs, at most for `limit`, and returns its state.
    pub async fn wait(&self, id: &LeaseId, limit: Duration) -> LeaseView {
        let rx = self.lock().leases.get(id).map(|lease| lease.view.subscribe());
        if let Some(mut rx) = rx {
            let ended = rx.wait_for(|view| view.state != LeaseState::Running);
            drop(tokio::time::timeout(limit, ended).await);
        }
        self.view(id)
    }

    /// Records that a response has reported the end of a lease.
    pub fn mark_reported(&self, id: &LeaseId) {
        self.lock().unreported.remove(id);
    }

    /// The prepared and running leases, and those whose end was in no response yet.
    pub fn open_and_unreported(&self) -> (Vec<LeaseId>, Vec<LeaseId>) {
        let table = self.lock();
        (table.open.iter().cloned().collect(), table.unreported.iter().cloned().collect())
    }

    /// Whether nothing runs and nothing is prepared.
    pub fn is_idle(&self) -> bool {
        self.lock().open.is_empty()
    }

    /// Whether an order comes from an older leadership term than the one that created the lease, or is
    /// meant for another incarnation of this upstream.
    fn is_stale(&self, table: &Table, id: &LeaseId, order: &LeaseOrder) -> bool {
        let created_term = table.leases.get(id).map_or(Term(0), |lease| lease.order.term);
        order.term < created_term || order.boot.is_some_and(|boot| boot != self.boot)
    }

    /// Whether the tasks of an order fit beside all open leases.
    fn has_capacity(&self, table: &Table, order: &LeaseOrder) -> bool {
        let (mut used, mut slots) = (order.per_task.times(order.tasks), order.tasks);
        for lease in table.open.iter().filter_map(|id| table.leases.get(id)) {
            used = used.plus(&lease.order.per_task.times(lease.order.tasks));
            slots += lease.order.tasks;
        }
        used.fits(&self.capacity) && slots <= self.slots
    }

    /// Locks the table and expires leases first.
    fn lock(&self) -> MutexGuard<'_, Table> {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.expire();
        table
    }
}

impl Table {
    const fn new() -> Self {
        Self {
            leases: BTreeMap::new(),
            open: BTreeSet::new(),
            unreported: BTreeSet::new(),
            ended: VecDeque::new(),
        }
    }

    fn view(&self, id: &LeaseId) -> LeaseView {
        let unknown = || LeaseView { state: LeaseState::Unknown, content: Bytes::new() };
        self.leases.get(id).map_or_else(unknown, |lease| lease.view.borrow().clone())
    }

    fn insert(&mut self, id: &LeaseId, order: &LeaseOrder, state: LeaseState) {
        let view = watch::Sender::new(LeaseView { state, content: Bytes::new() });
        let lease = Lease { order: order.clone(), view, state_since: Instant::now() };
        self.leases.insert(id.clone(), lease);
        self.index(id, state);
    }

    fn set(&mut self, id: &LeaseId, state: LeaseState, content: Bytes) {
        let Some(lease) = self.leases.get_mut(id) else { return };
        lease.state_since = Instant::now();
        lease.view.send_replace(LeaseView { state, content });
        self.index(id, state);
    }

    /// Moves a lease to the indexes of its new state.
    fn index(&mut self, id: &LeaseId, state: LeaseState) {
        if matches!(state, LeaseState::Prepared | LeaseState::Running) {
            self.open.insert(id.clone());
            return;
        }
        self.open.remove(id);
        self.ended.push_back((Instant::now(), id.clone()));
        if matches!(state, LeaseState::Done | LeaseState::Failed) {
            self.unreported.insert(id.clone());
        }
    }

    /// Fences leases that were prepared too long without a start, and removes those that ended long ago.
    fn expire(&mut self) {
        let is_expired = |lease: &Lease| {
            let limit = Duration::from_millis(lease.order.prepared_ms);
            lease.view.borrow().state == LeaseState::Prepared
                && lease.state_since.elapsed() >= limit
        };
        let expired: Vec<LeaseId> = self
            .open
            .iter()
            .filter(|id| self.leases.get(id).is_some_and(is_expired))
            .cloned()
            .collect();
        for id in expired {
            self.set(&id, LeaseState::Fenced, Bytes::new());
        }
        while self.ended.front().is_some_and(|(ended_at, _)| ended_at.elapsed() >= ENDED_RETENTION)
        {
            if let Some((_, id)) = self.ended.pop_front() {
                self.leases.remove(&id);
                self.unreported.remove(&id);
            }
        }
    }
}
