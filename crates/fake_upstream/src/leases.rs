//! The leases that an upstream holds.

use std::collections::BTreeMap;
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
    leases: Mutex<BTreeMap<LeaseId, Lease>>,
}

impl Leases {
    /// No leases yet.
    pub const fn new(boot: u64, capacity: Resources, slots: u32) -> Self {
        Self { boot, capacity, slots, leases: Mutex::new(BTreeMap::new()) }
    }

    /// The number of this start of the process.
    pub const fn boot(&self) -> u64 {
        self.boot
    }

    /// Keeps room for a lease.
    pub fn prepare(&self, id: &LeaseId, order: &LeaseOrder) -> View {
        let mut leases = self.lock();
        if self.is_refused(&leases, id, order) {
            return look_in(&leases, id);
        }
        if !leases.contains_key(id) && self.has_room(&leases, order) {
            leases.insert(id.clone(), new_lease(order, LeaseState::Prepared));
        }
        look_in(&leases, id)
    }

    /// Starts a lease. Returns its state, and whether it was this call that started it.
    pub fn start(&self, id: &LeaseId, order: &LeaseOrder) -> (View, bool) {
        let mut leases = self.lock();
        if self.is_refused(&leases, id, order) {
            return (look_in(&leases, id), false);
        }
        match look_in(&leases, id).state {
            LeaseState::Unknown if self.has_room(&leases, order) => {
                leases.insert(id.clone(), new_lease(order, LeaseState::Running));
                (look_in(&leases, id), true)
            }
            LeaseState::Unknown => {
                leases.insert(id.clone(), new_lease(order, LeaseState::Fenced));
                (look_in(&leases, id), false)
            }
            LeaseState::Prepared => {
                set(&mut leases, id, LeaseState::Running, Bytes::new());
                (look_in(&leases, id), true)
            }
            _ => (look_in(&leases, id), false),
        }
    }

    /// Sees to it that a lease which has not started never will.
    pub fn release(&self, id: &LeaseId, order: &LeaseOrder) -> View {
        let mut leases = self.lock();
        if order.boot.is_some_and(|boot| boot != self.boot) {
            return look_in(&leases, id);
        }
        match look_in(&leases, id).state {
            LeaseState::Unknown => {
                leases.insert(id.clone(), new_lease(order, LeaseState::Fenced));
            }
            LeaseState::Prepared => set(&mut leases, id, LeaseState::Fenced, Bytes::new()),
            _ => {}
        }
        look_in(&leases, id)
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
        let mut leases = self.lock();
        if look_in(&leases, id).state == LeaseState::Running {
            set(&mut leases, id, state, content);
        }
        look_in(&leases, id)
    }

    /// Forgets an answer that was fetched.
    pub fn acknowledge(&self, id: &LeaseId) {
        let mut leases = self.lock();
        if look_in(&leases, id).state == LeaseState::Done {
            leases.remove(id);
        }
    }

    /// The state of a lease.
    pub fn look(&self, id: &LeaseId) -> View {
        let mut leases = self.lock();
        lapse(&mut leases);
        look_in(&leases, id)
    }

    /// Waits a while for a lease to end.
    pub async fn wait(&self, id: &LeaseId, limit: Duration) -> View {
        let rx = self.lock().get(id).map(|lease| lease.view.subscribe());
        if let Some(mut rx) = rx {
            let ended = rx.wait_for(|view| view.state != LeaseState::Running);
            drop(tokio::time::timeout(limit, ended).await);
        }
        self.look(id)
    }

    /// All leases that are not over, and those that ended with an answer.
    pub fn held(&self) -> (Vec<LeaseId>, Vec<LeaseId>) {
        let mut leases = self.lock();
        lapse(&mut leases);
        let mut held = Vec::new();
        let mut ended = Vec::new();
        for (id, lease) in leases.iter() {
            match lease.view.borrow().state {
                LeaseState::Prepared | LeaseState::Running => held.push(id.clone()),
                LeaseState::Done => {
                    held.push(id.clone());
                    ended.push(id.clone());
                }
                _ => {}
            }
        }
        (held, ended)
    }

    /// Whether nothing runs and nothing is prepared.
    pub fn is_idle(&self) -> bool {
        let is_open = |state| matches!(state, LeaseState::Prepared | LeaseState::Running);
        !self.lock().values().any(|lease| is_open(lease.view.borrow().state))
    }

    fn is_refused(
        &self,
        leases: &BTreeMap<LeaseId, Lease>,
        id: &LeaseId,
        order: &LeaseOrder,
    ) -> bool {
        let seen = leases.get(id).map_or(Term(0), |lease| lease.order.term);
        order.term < seen || order.boot.is_some_and(|boot| boot != self.boot)
    }

    fn has_room(&self, leases: &BTreeMap<LeaseId, Lease>, order: &LeaseOrder) -> bool {
        let is_open = |state| matches!(state, LeaseState::Prepared | LeaseState::Running);
        let open = leases.values().filter(|lease| is_open(lease.view.borrow().state));
        let (mut used, mut slots) = (order.per_task.times(order.tasks), order.tasks);
        for lease in open {
            used = used.plus(&lease.order.per_task.times(lease.order.tasks));
            slots += lease.order.tasks;
        }
        used.fits(&self.capacity) && slots <= self.slots
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<LeaseId, Lease>> {
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        lapse(&mut leases);
        leases
    }
}

fn new_lease(order: &LeaseOrder, state: LeaseState) -> Lease {
    let view = watch::Sender::new(View { state, content: Bytes::new() });
    Lease { order: order.clone(), view, since: Instant::now() }
}

fn set(leases: &mut BTreeMap<LeaseId, Lease>, id: &LeaseId, state: LeaseState, content: Bytes) {
    if let Some(lease) = leases.get_mut(id) {
        lease.since = Instant::now();
        lease.view.send_replace(View { state, content });
    }
}

fn look_in(leases: &BTreeMap<LeaseId, Lease>, id: &LeaseId) -> View {
    let unknown = || View { state: LeaseState::Unknown, content: Bytes::new() };
    leases.get(id).map_or_else(unknown, |lease| lease.view.borrow().clone())
}

/// Prepared leases lapse without a start; ended ones are forgotten some day.
fn lapse(leases: &mut BTreeMap<LeaseId, Lease>) {
    for lease in leases.values_mut() {
        let kept = Duration::from_millis(lease.order.prepared_ms);
        let is_prepared = lease.view.borrow().state == LeaseState::Prepared;
        if is_prepared && lease.since.elapsed() >= kept {
            lease.since = Instant::now();
            lease.view.send_replace(View { state: LeaseState::Fenced, content: Bytes::new() });
        }
    }
    leases.retain(|_, lease| {
        let is_open =
            matches!(lease.view.borrow().state, LeaseState::Prepared | LeaseState::Running);
        is_open || lease.since.elapsed() < REMEMBER
    });
}
