//! Tests of what counts as a comparison.

use hg_ledger::{QueueTerms, RunStart, WorkflowCommand};
use hg_model::{
    DataCentreName, ImageName, Incarnation, JobId, LatencyTarget, PoolName, QueueName, RackName,
    ResourceVector, StepId, Time, UpstreamReport, WorkflowSpec,
};

use super::*;

fn upstream() -> UpstreamName {
    UpstreamName::new("u0").expect("a valid name")
}

fn task(name: &str) -> TaskId {
    let job = JobId::new(name).expect("a valid name");
    TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 }
}

/// A host on which jobs `a`, `b`, ... of the images with the same names run; `change` alters the step of `b`.
fn ledger(names: &[&str], change: impl Fn(&mut StepSpec)) -> WorkflowLedger {
    let mut ledger = WorkflowLedger::default();
    let pool = PoolName::new("pool").expect("a valid name");
    ledger.apply(WorkflowCommand::Register(UpstreamReport {
        name: upstream(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9000".parse().expect("an address"),
        host: None,
        pool: pool.clone(),
        data_centre: DataCentreName::new("north").expect("a valid name"),
        rack: RackName::new("r0").expect("a valid name"),
        labels: Vec::new(),
        capacity: ResourceVector::new(8, 32_000, 131_072),
        leaving: false,
    }));
    for name in names {
        let mut spec = StepSpec::new(1, ResourceVector::new(1, 1_000, 1_000));
        spec.image = ImageName::new(*name).ok();
        if *name == "b" {
            change(&mut spec);
        }
        let terms = QueueTerms {
            queue: QueueName::new("queue").expect("a valid name"),
            pool: pool.clone(),
            priority: 1,
            attempts: 2,
            stretch_milli: 3_000,
            objective_ms: 1_000,
            advice: None,
        };
        let (id, spec, at) = (task(name).step.job, WorkflowSpec::new("work", vec![spec]), Time(1));
        ledger.apply(WorkflowCommand::Accept { id, spec, terms, account: None, at });
        let (upstream, incarnation) = (upstream(), Incarnation(1));
        let start = RunStart { task: task(name), run: RunNumber(1), upstream, incarnation };
        ledger.apply(WorkflowCommand::Start { starts: vec![start], at });
    }
    ledger
}

/// A host whose listings are recorded one after the other.
struct Host {
    ledger: WorkflowLedger,
    observer: RunObserver,
    clock: u64,
    percent: f64,
}

impl Host {
    fn new(names: &[&str], change: impl Fn(&mut StepSpec)) -> Self {
        let (ledger, observer) = (ledger(names, change), RunObserver::default());
        Self { ledger, observer, clock: 1_000, percent: 0.0 }
    }

    /// Lists the run of `b` beside others for 2 s, at a speed in percent a second.
    fn list(&mut self, beside: &[&str], speed: f64, tail: Option<u64>) -> Vec<Contrast> {
        let mut contrasts = Vec::new();
        for _ in 0..10 {
            let listed = |name: &str, percent, gauge| ListedRun {
                task: task(name),
                run: RunNumber(1),
                checkpoint: None,
                percent,
                gauge,
            };
            let mut running = vec![listed("b", self.percent as u32, tail)];
            running.extend(beside.iter().map(|name| listed(name, 0, None)));
            let (incarnation, clock) = (Incarnation(1), ClockReading(self.clock));
            let listing =
                RunListing { incarnation, clock, running, ended: Vec::new(), has_more_ends: false };
            contrasts.extend(self.observer.record_listing(&self.ledger, &upstream(), &listing));
            self.clock += 200;
            self.percent += speed * 0.2;
        }
        contrasts
    }

    /// Records that the run of `b` is over.
    fn close(&mut self) -> Option<Contrast> {
        let (upstream, task, run) = (upstream(), task("b"), RunNumber(1));
        self.observer.record_run_closed(&RunRef { upstream, task, run })
    }
}

fn assert_slow_down(contrast: &Contrast, factor: f64) {
    assert!((contrast.slow_down - f64::ln(factor)).abs() < 0.15, "{contrast:?}");
}

#[test]
fn record_listing_compares_run_with_itself_at_arrival_and_departure() {
    let mut host = Host::new(&["a", "b"], |_| {});
    assert!(host.list(&[], 12.0, None).is_empty());
    assert!(host.list(&["a"], 8.0, None).is_empty());
    let arrival = host.list(&[], 12.0, None).pop().expect("a comparison");
    assert_eq!(arrival.transition, Transition::Arrival);
    assert_eq!(arrival.pair.to_string(), "image a slows image b");
    assert_slow_down(&arrival, 1.5);

    let mut host = Host::new(&["a", "b"], |_| {});
    host.list(&["a"], 8.0, None);
    host.list(&[], 12.0, None);
    let departure = host.close().expect("a comparison");
    assert_eq!(departure.transition, Transition::Departure);
    assert_slow_down(&departure, 1.5);
}

/// Guards against a slow host, a long task and a remote data rack that look like contention: whatever the
/// speed of the whole run, its comparisons show nothing.
#[test]
fn record_listing_ignores_speed_of_host_task_and_rack() {
    for speed in [4.0, 8.0, 16.0] {
        let mut host = Host::new(&["a", "b"], |_| {});
        host.list(&[], speed, None);
        host.list(&["a"], speed, None);
        assert_slow_down(&host.close().expect("a comparison"), 1.0);
    }
}

/// Guards against a resumed run that looks slow beside its first neighbours while it restores its progress.
#[test]
fn record_listing_ignores_time_before_first_progress() {
    let mut host = Host::new(&["a", "b"], |_| {});
    host.percent = 40.0;
    host.list(&["a"], 0.0, None);
    host.list(&["a"], 10.0, None);
    host.list(&[], 10.0, None);
    assert_slow_down(&host.close().expect("a comparison"), 1.0);
}

#[test]
fn record_listing_makes_no_comparison_of_two_changes_or_of_best_effort_runs() {
    let mut host = Host::new(&["a", "b", "c"], |_| {});
    host.list(&[], 10.0, None);
    host.list(&["a", "c"], 5.0, None);
    assert!(host.close().is_none(), "either neighbour may be the cause");

    let mut host = Host::new(&["a", "b"], |spec| spec.best_effort = true);
    host.list(&[], 10.0, None);
    host.list(&["a"], 5.0, None);
    assert!(host.close().is_none(), "its pace was changed on purpose");
}

#[test]
fn record_listing_compares_tail_latency_of_serving_run() {
    let serving = |spec: &mut StepSpec| {
        (spec.long_running, spec.target) = (true, Some(LatencyTarget { tail_latency_ms: 100 }));
    };
    let mut host = Host::new(&["a", "b"], serving);
    host.percent = 100.0;
    host.list(&[], 0.0, Some(40));
    host.list(&["a"], 0.0, Some(72));
    assert_slow_down(&host.close().expect("a comparison"), 1.8);
}

/// Guards against readings of an earlier incarnation under the same address.
#[test]
fn record_listing_begins_anew_when_the_clock_goes_back() {
    let mut host = Host::new(&["a", "b"], |_| {});
    host.list(&[], 10.0, None);
    host.clock = 100;
    host.list(&["a"], 5.0, None);
    assert!(host.close().is_none());
}
