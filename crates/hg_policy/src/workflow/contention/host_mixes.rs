//! What a newcomer is expected to suffer and to cause on each host.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::ContentionPair;
use hg_model::{PoolName, QueueName, ResourceVector, StepSpec, TaskClass};

use super::super::capacity_map::{Candidate, CapacityMap, Position};
use super::super::ready_steps::ReadyStep;
use super::super::run_table::RunTable;

/// Expected slow-downs are compared in steps of this size, as logarithms of their factors, so that
/// differences below their uncertainty do not outweigh best fit.
const SLOW_DOWN_STEP: f64 = 0.05;
/// A pool has room while at least this share of its upstreams is idle, in percent, and at least
/// `IDLE_MIN` are.
const IDLE_MIN_PERCENT: usize = 10;
const IDLE_MIN: usize = 2;

/// The number of a class among those of the slow-downs to avoid.
type ClassNumber = usize;

/// The tasks of one class on a host.
#[derive(Debug, Clone, Copy, Default)]
struct Present {
    best_effort: u32,
    serving: u32,
    others: u32,
}

impl Present {
    const fn count_mut(&mut self, spec: &StepSpec) -> &mut u32 {
        if spec.best_effort {
            &mut self.best_effort
        } else if spec.long_running {
            &mut self.serving
        } else {
            &mut self.others
        }
    }

    /// Whether some of them slow a task. What best-effort tasks do to serving ones is limited by
    /// their pace.
    const fn slows(&self, spec: &StepSpec) -> bool {
        let count = self.serving + self.others;
        count > 0 || (self.best_effort > 0 && !spec.long_running)
    }

    /// How many of them a task slows. The speed of best-effort tasks does not count.
    const fn slowed_by(&self, spec: &StepSpec) -> u32 {
        if spec.best_effort { self.others } else { self.others + self.serving }
    }
}

/// The classes of tasks on each host, as far as they are part of a slow-down to avoid.
#[derive(Debug, Clone)]
pub(crate) struct HostMixes {
    classes: BTreeMap<TaskClass, ClassNumber>,
    /// The logarithm of the factor by which the first class slows the second one.
    slow_downs: BTreeMap<(ClassNumber, ClassNumber), f64>,
    hosts: Vec<BTreeMap<ClassNumber, Present>>,
    /// Pools in which work waits that needs capacity in one piece, or at once.
    pressed: BTreeSet<PoolName>,
}

/// Queries.
impl HostMixes {
    pub(super) fn new(
        found: &BTreeMap<ContentionPair, f64>,
        runs: &RunTable<'_>,
        ready: &[ReadyStep<'_>],
        capacity: &CapacityMap<'_>,
    ) -> Self {
        let names: BTreeSet<&TaskClass> =
            found.keys().flat_map(|pair| [&pair.aggressor, &pair.victim]).collect();
        let classes: BTreeMap<TaskClass, ClassNumber> =
            names.into_iter().enumerate().map(|(number, class)| (class.clone(), number)).collect();
        let slow_downs = found.iter().filter_map(|(pair, slow_down)| {
            let key = (*classes.get(&pair.aggressor)?, *classes.get(&pair.victim)?);
            Some((key, *slow_down))
        });
        let slow_downs = slow_downs.collect();
        let needs_room = ready.iter().filter(|step| step.is_urgent() || step.spec.gang);
        let pressed = needs_room.map(|step| step.pool.clone()).collect();
        let hosts = vec![BTreeMap::new(); capacity.len()];
        let mut mixes = Self { classes, slow_downs, hosts, pressed };
        for row in runs.rows() {
            if let (Some((job, spec)), Some(position)) = (row.work, capacity.position(row.upstream))
            {
                mixes.add(position, spec, &job.terms.queue);
            }
        }
        mixes
    }

    /// The view for a step; `None` if its placement does not depend on its neighbours.
    pub(crate) fn for_step<'b>(&'b self, step: &'b ReadyStep<'b>) -> Option<StepMixes<'b>> {
        let class = TaskClass::of(step.spec, &step.job.terms.queue);
        Some(StepMixes { mixes: self, step, class: *self.classes.get(&class)? })
    }

    fn slow_down(&self, aggressor: ClassNumber, victim: ClassNumber) -> f64 {
        self.slow_downs.get(&(aggressor, victim)).copied().unwrap_or(0.0)
    }

    fn name(&self, number: ClassNumber) -> Option<&TaskClass> {
        self.classes.iter().find(|(_, known)| **known == number).map(|(class, _)| class)
    }
}

/// The classes of tasks on each host, as they concern one step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepMixes<'a> {
    mixes: &'a HostMixes,
    step: &'a ReadyStep<'a>,
    class: ClassNumber,
}

/// Queries.
impl StepMixes<'_> {
    /// Whether the step's tasks slow each other down.
    pub(crate) fn is_slow_beside_itself(&self) -> bool {
        !self.step.spec.best_effort && self.mixes.slow_down(self.class, self.class) > 0.0
    }

    /// The sum of the logarithms of the slow-downs that a task of the step would suffer and cause on a
    /// host, in steps of `SLOW_DOWN_STEP`.
    pub(crate) fn slow_down_steps(&self, host: Position) -> u32 {
        let present = self.mixes.hosts[host].iter();
        let terms = present
            .map(|(other, present)| self.suffered(*other, present) + self.caused(*other, present));
        (terms.sum::<f64>() / SLOW_DOWN_STEP).round() as u32
    }

    fn suffered(&self, other: ClassNumber, present: &Present) -> f64 {
        let spec = self.step.spec;
        let is_slowed = !spec.best_effort && present.slows(spec);
        if is_slowed { self.mixes.slow_down(other, self.class) } else { 0.0 }
    }

    fn caused(&self, other: ClassNumber, present: &Present) -> f64 {
        self.mixes.slow_down(self.class, other) * f64::from(present.slowed_by(self.step.spec))
    }

    /// The pair with the largest slow-down that a task of the step would suffer or cause on a host, with the
    /// factor.
    pub(crate) fn worst_pair(&self, host: Position) -> Option<(ContentionPair, f64)> {
        let pairs = self.mixes.hosts[host].iter().flat_map(|(other, present)| {
            let (suffered, caused) = (self.suffered(*other, present), self.caused(*other, present));
            [((*other, self.class), suffered), ((self.class, *other), caused)]
        });
        let ((aggressor, victim), slow_down) = pairs.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let pair = ContentionPair {
            aggressor: self.mixes.name(aggressor)?.clone(),
            victim: self.mixes.name(victim)?.clone(),
        };
        let factor = self.mixes.slow_down(aggressor, victim).exp();
        (slow_down > 0.0).then_some((pair, factor))
    }

    /// Whether the step may be placed where the slow-down is least although best fit prefers another
    /// host: only work that can be placed anywhere and at any time, while the pool has idle
    /// upstreams and nothing waits that needs them.
    pub(crate) fn may_leave_best_fit(&self, capacity: &CapacityMap<'_>) -> bool {
        let (step, spec) = (self.step, self.step.spec);
        let is_bound = step.is_urgent() || spec.gang || spec.rack_local || spec.data_rack.is_some();
        let pool = step.pool;
        if is_bound || self.mixes.pressed.contains(pool) {
            return false;
        }
        let of_pool = capacity.candidates().filter(|candidate| candidate.report.pool == *pool);
        let (idle, all) = of_pool.fold((0, 0), |(idle, all), candidate| {
            (idle + usize::from(is_idle(candidate)), all + 1)
        });
        idle >= IDLE_MIN && idle * 100 >= all * IDLE_MIN_PERCENT
    }
}

/// Commands.
impl HostMixes {
    /// Records a task on a host.
    pub(crate) fn add(&mut self, host: Position, spec: &StepSpec, queue: &QueueName) {
        let Some(class) = self.classes.get(&TaskClass::of(spec, queue)) else { return };
        *self.hosts[host].entry(*class).or_default().count_mut(spec) += 1;
    }

    /// Records that work of a pool could not be placed.
    pub(crate) fn record_unplaced(&mut self, pool: &PoolName) {
        self.pressed.insert(pool.clone());
    }
}

/// Whether nothing runs on an upstream, and it is open to any work.
fn is_idle(candidate: &Candidate<'_>) -> bool {
    let is_unused = candidate.available() == candidate.report.capacity;
    let is_open = !candidate.urgent_only && candidate.reservation.is_none();
    is_unused && is_open && candidate.report.capacity != ResourceVector::default()
}
