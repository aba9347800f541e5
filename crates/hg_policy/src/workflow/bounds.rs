//! The time bounds that a deployment sets, and the timeouts that follow from them.

use std::time::Duration;

use derive_more::{Display, Error};

/// What the leader adds to a stop until the freed resources can be used: the order on its way, the listing that
/// shows the end, and the log write, on a loaded host.
const STOP_OVERHEAD: Duration = Duration::from_millis(350);
/// The part of the reclaim bound that is reserved for the start orders after the stops.
const START_RESERVE: Duration = Duration::from_millis(200);
/// How long before its end an upstream's work is stopped, beside the stop itself: the ends have to be listed and
/// logged, and an order may have to be sent twice.
const EVACUATION_OVERHEAD: Duration = Duration::from_millis(600);
/// What an upkeep takes beside the upkeep itself: stops, and the return of the upstream.
const UPKEEP_OVERHEAD: Duration = Duration::from_millis(2_000);
/// The delay of a heartbeat beyond its interval that is not taken for silence.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(300);
/// How many heartbeats an upstream may miss before it gets no new work.
const HEARTBEATS_MISSED: u32 = 2;
/// Longest validity of a start, so that a delayed one has no effect.
const START_VALID_MAX: Duration = Duration::from_millis(3_000);
/// The span that a gauge of a serving task covers.
const GAUGE_SPAN: Duration = Duration::from_millis(500);
/// Margin between two holders of the lease on orders about hosts.
const HOST_LEASE_MARGIN: Duration = Duration::from_millis(500);
/// How many times the promised time the state of an ended workflow is kept: callers may submit it again later than
/// they ask for its state.
const STATUS_RETENTION_FACTOR: u32 = 15;
/// The longest value of any bound.
const BOUND_MAX: Duration = Duration::from_secs(24 * 3_600);

/// The time bounds that a deployment's upstreams, platform and guarantees set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkflowBounds {
    /// Within this time of its acceptance, guaranteed urgent work has to start.
    pub reclaim: Duration,
    /// An upstream carries out a stop within this time.
    pub stop: Duration,
    /// How long a task takes to resume from a checkpoint.
    pub restore: Duration,
    /// How long the members of a gang wait for each other on their upstreams.
    pub gang_wait: Duration,
    /// The longest lease that an upstream grants, by its own clock.
    pub lease_max: Duration,
    /// The interval of an upstream's heartbeats.
    pub heartbeat: Duration,
    /// How long the upkeep of a host takes.
    pub upkeep: Duration,
    /// How long one holder's right to give orders about a host may last.
    pub host_lease: Duration,
    /// After this time a change of pace is in force at an upstream.
    pub pace: Duration,
    /// How long callers may ask for the state of an ended workflow.
    pub status: Duration,
}

impl Default for WorkflowBounds {
    fn default() -> Self {
        Self {
            reclaim: Duration::from_millis(2_900),
            stop: Duration::from_millis(400),
            restore: Duration::from_millis(600),
            gang_wait: Duration::from_millis(3_000),
            lease_max: Duration::from_millis(10_000),
            heartbeat: Duration::from_millis(1_500),
            upkeep: Duration::from_millis(2_000),
            host_lease: Duration::from_millis(3_000),
            pace: Duration::from_millis(100),
            status: Duration::from_secs(120),
        }
    }
}

/// A bound that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{bound}: more than 0 s and at most {BOUND_MAX:?} is allowed, not {value:?}")]
pub struct BoundError {
    /// The bound's name.
    pub bound: &'static str,
    /// Its value.
    pub value: Duration,
}

/// Queries.
impl WorkflowBounds {
    /// Checks that every bound is in range. `restore`, `upkeep` and `pace` may be 0.
    ///
    /// # Errors
    ///
    /// All bounds that are out of range.
    pub fn check(&self) -> Result<(), Vec<BoundError>> {
        let positive = [
            ("reclaim", self.reclaim),
            ("stop", self.stop),
            ("gang_wait", self.gang_wait),
            ("lease_max", self.lease_max),
            ("heartbeat", self.heartbeat),
            ("host_lease", self.host_lease),
            ("status", self.status),
        ];
        let may_be_zero = [("restore", self.restore), ("upkeep", self.upkeep), ("pace", self.pace)];
        let wrong_positive =
            positive.into_iter().filter(|(_, value)| value.is_zero() || *value > BOUND_MAX);
        let wrong = wrong_positive.chain(may_be_zero.into_iter().filter(|(_, v)| *v > BOUND_MAX));
        let errors: Vec<BoundError> =
            wrong.map(|(bound, value)| BoundError { bound, value }).collect();
        if errors.is_empty() { Ok(()) } else { Err(errors) }
    }

    /// How long after its stop was decided a run's resources are free at the latest, if nothing goes wrong.
    pub(crate) const fn stop_done(&self) -> Duration {
        self.stop.saturating_add(STOP_OVERHEAD)
    }

    /// How long resources are held for an urgent step while runs are being stopped for it: two tries.
    pub(crate) const fn hold_timeout(&self) -> Duration {
        self.stop_done().saturating_mul(2)
    }

    /// How long guaranteed work waits before it preempts urgent work that no guarantee covers: what remains is
    /// enough for two tries.
    pub(crate) const fn guarantee_preempts_after(&self) -> Duration {
        self.reclaim.saturating_sub(self.hold_timeout()).saturating_sub(START_RESERVE)
    }

    /// How long before an upstream leaves its runs are stopped.
    pub(crate) const fn stop_lead_time(&self) -> Duration {
        self.stop.saturating_add(EVACUATION_OVERHEAD)
    }

    /// The part of a host's share of a wave's time that its runs may not use.
    pub(crate) const fn upkeep_reserve(&self) -> Duration {
        self.upkeep.saturating_add(UPKEEP_OVERHEAD)
    }

    /// How long a change of pace takes to show in a gauge.
    pub(crate) const fn pace_settled(&self) -> Duration {
        self.pace.saturating_add(GAUGE_SPAN)
    }

    /// An upstream that sent nothing for this long gets no new work.
    pub const fn unresponsive_after(&self) -> Duration {
        self.heartbeat.saturating_mul(HEARTBEATS_MISSED).saturating_add(HEARTBEAT_SLACK)
    }

    /// How long a start order stays valid. A gang's members that started would not wait longer for it.
    pub fn start_valid(&self) -> Duration {
        self.gang_wait.min(START_VALID_MAX)
    }

    /// How long a new leader gives no order about hosts, since an earlier leader's may be in flight.
    pub const fn first_host_order_after(&self) -> Duration {
        self.host_lease.saturating_add(HOST_LEASE_MARGIN)
    }

    /// How long ended workflows are retained.
    pub const fn retain_ended(&self) -> Duration {
        self.status.saturating_mul(STATUS_RETENTION_FACTOR)
    }

    /// How long the tombstone of an id that was cancelled before its submission is kept at least, however many its account has.
    pub const fn tombstone_kept_min(&self) -> Duration {
        self.status
    }
}
