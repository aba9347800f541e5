//! Several steps that need advice from a service which answers one request at a time.

use std::sync::Arc;

use crate::harness::{Harness, job, upstream};
use hg_model::{AdviceTiming, Label, ResourceVector, StepSpec, Time, UpstreamName};
use hg_policy::AdviceRequest;

const WHOLE_UPSTREAM: ResourceVector = ResourceVector::new(8, 8_000, 16_384);
const ADVICE: AdviceTiming = AdviceTiming { decide_ms: 100, each_ms: 10, valid_ms: 3_000 };
/// How long the service takes for each request, in milliseconds.
const ANSWER_MS: u64 = 150;

fn step(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 2_000, ..StepSpec::new(tasks, WHOLE_UPSTREAM) }
}

/// The service, which allows every job on every upstream unless a policy names others.
struct Service {
    policy: Vec<(&'static str, Vec<u32>)>,
    valid_ms: u64,
    calls: Vec<String>,
}

impl Service {
    fn new(policy: Vec<(&'static str, Vec<u32>)>) -> Self {
        Self { policy, valid_ms: ADVICE.valid_ms, calls: Vec::new() }
    }

    fn allows(&self, request: &AdviceRequest, name: &UpstreamName) -> bool {
        let of_job = |(id, _): &&(&str, Vec<u32>)| job(id) == request.step.job;
        let allowed = self.policy.iter().find(of_job).map(|(_, allowed)| allowed);
        allowed.is_none_or(|allowed| allowed.iter().any(|number| upstream(*number) == *name))
    }

    /// Plays rounds in which the service answers each request. Returns the jobs that start.
    fn play(&mut self, harness: &mut Harness, rounds: u32) -> Vec<String> {
        let mut started = Vec::new();
        for _ in 0..rounds {
            let sent_at = harness.now;
            let decisions = harness.round(0);
            started.extend(decisions.starts.iter().map(|s| s.task.step.job.to_string()));
            harness.round(ANSWER_MS);
            let Some(request) = decisions.advice_request else { continue };
            harness.scheduler.record_advice_request(sent_at, &request);
            self.calls.push(request.step.job.to_string());
            let names = request.upstreams.iter().filter(|name| self.allows(&request, name));
            let allowed: Vec<_> = names.map(|name| (name.clone(), Arc::from("ticket"))).collect();
            let until = Time(sent_at.0 + self.valid_ms);
            harness.scheduler.record_advice(&harness.ledger, &request, &allowed, until);
        }
        started
    }

    fn calls_about(&self, id: &str) -> usize {
        self.calls.iter().filter(|call| *call == id).count()
    }
}

/// Upstream 0 is full for good.
fn with_full_upstream(upstreams: u32) -> Harness {
    let mut harness = Harness::new(1, upstreams);
    let known = harness.ledger.upstreams()[&upstream(0)].clone();
    let label = Label::new("special").expect("a valid name");
    let labels = known.labels.iter().cloned().chain([label.clone()]).collect();
    let report = hg_model::UpstreamReport { labels, ..known };
    harness.apply(hg_ledger::WorkflowCommand::Register(report));
    let lasting = StepSpec { long_running: true, required_label: Some(label), ..step(1) };
    harness.submit("lasting", 0, vec![lasting]);
    assert_eq!(harness.round(0).starts.len(), 1);
    harness.advice = Some(ADVICE);
    harness
}

/// Guards against a step that waits for a full upstream and has the service asked about it again and again, so that
/// no other step gets advice.
#[test]
fn step_that_waits_for_a_full_upstream_leaves_the_service_to_others() {
    let mut harness = with_full_upstream(4);
    harness.submit("urgent", 0, vec![step(1)]);
    let mut service = Service::new(vec![("urgent", vec![0])]);
    service.play(&mut harness, 10);
    harness.submit("other", 1, vec![step(1)]);
    assert_eq!(service.play(&mut harness, 3), ["other"]);
    service.play(&mut harness, 60);
    let calls = service.calls_about("urgent");
    assert!((2..=6).contains(&calls), "{calls} calls in 10 s, with tickets valid for 3 s");
}

/// Guards against the same where tickets expire sooner than requests are answered, so that they always need renewal.
#[test]
fn steps_whose_tickets_are_always_due_take_turns() {
    let mut harness = with_full_upstream(4);
    for id in ["urgent-1", "urgent-2"] {
        harness.submit(id, 0, vec![step(1)]);
    }
    for id in ["other-1", "other-2", "other-3"] {
        harness.submit(id, 1, vec![step(1)]);
    }
    let policy = vec![("urgent-1", vec![0]), ("urgent-2", vec![0])];
    let mut service = Service { valid_ms: 400, ..Service::new(policy) };
    service.play(&mut harness, 10);
    assert_eq!(harness.round(0).starts.len(), 0);
    for id in ["other-1", "other-2", "other-3"] {
        assert!(service.calls_about(id) > 0, "no call about {id}: {:?}", service.calls);
    }
    service.play(&mut harness, 20);
    let (first, second) = (service.calls_about("urgent-1"), service.calls_about("urgent-2"));
    assert!(first >= service.calls.len() / 3, "the first has every other call: {first}");
    assert!(second > 1, "the second has its turn: {second}");
}

/// Guards against a step whose requests fail, such as one that the service cannot read, and that is tried again before
/// all others.
#[test]
fn step_whose_requests_fail_leaves_the_service_to_others() {
    let mut harness = Harness::new(1, 2);
    harness.advice = Some(ADVICE);
    harness.submit("failing", 0, vec![step(1)]);
    harness.submit("other", 1, vec![step(1)]);
    let first = harness.round(0).advice_request.expect("a request");
    assert_eq!(first.step.job, job("failing"));
    harness.scheduler.record_advice_request(harness.now, &first);
    let second = harness.round(100).advice_request.expect("a request");
    assert_eq!(second.step.job, job("other"));
    harness.scheduler.record_advice_request(harness.now, &second);
    let third = harness.round(100).advice_request.expect("a request");
    assert_eq!(third.step.job, job("failing"), "the first in the order is tried again");
}

/// Guards against a step that could start at once and waits behind steps of a full pool.
#[test]
fn step_with_room_is_asked_about_before_steps_without() {
    let mut harness = with_full_upstream(2);
    let label = Some(Label::new("special").expect("a valid name"));
    for id in ["full-1", "full-2", "full-3"] {
        harness.submit(id, 1, vec![StepSpec { required_label: label.clone(), ..step(1) }]);
    }
    harness.submit("other", 2, vec![step(1)]);
    let request = harness.round(0).advice_request.expect("a request");
    assert_eq!(request.step.job, job("other"));
}

/// A service that is busy gets no request.
#[test]
fn busy_service_gets_no_request() {
    let mut harness = Harness::new(1, 2);
    harness.advice = Some(ADVICE);
    harness.submit("quote", 0, vec![step(1)]);
    harness.fleet.is_advice_busy = true;
    assert_eq!(harness.round(0).advice_request, None);
    harness.fleet.is_advice_busy = false;
    assert!(harness.round(10).advice_request.is_some());
}
