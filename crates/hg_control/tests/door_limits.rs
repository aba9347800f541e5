//! Time limits of calls that wait for the leader, and of draining a process.

use std::time::Duration;

use hg_control::{DrainPlan, PlatformCall, caller_limit};
use hg_model::{JobId, StepId};
use hg_policy::AdviceRequest;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn caller_limit_reserves_time_for_the_response() {
    assert_eq!(caller_limit(Some(1_000)), ms(750));
    assert_eq!(caller_limit(Some(10)), ms(250), "the leader is tried in any case");
}

#[test]
fn caller_limit_is_capped_at_the_duration_of_an_election() {
    assert_eq!(caller_limit(Some(30_000)), ms(1_400), "the caller is told to retry instead");
    assert_eq!(caller_limit(None), ms(1_400));
}

#[test]
fn drain_plan_fits_into_the_grace_period() {
    for grace in [ms(500), ms(2_000), ms(6_000), ms(30_000)] {
        let plan = DrainPlan::new(grace);
        assert!(plan.late_calls + plan.in_flight <= grace, "{plan:?}");
    }
    assert!(DrainPlan::new(ms(6_000)).late_calls >= ms(2_000), "two health checks");
}

#[test]
fn limit_of_an_advice_request_covers_the_expected_duration() {
    let request = AdviceRequest {
        step: StepId { job: JobId::new("j").unwrap(), occurrence: 0, step: 0 },
        upstreams: Vec::new(),
        expected_duration_ms: 700,
    };
    assert_eq!(PlatformCall::RequestAdvice(request).limit(), ms(2_700));
    assert_eq!(PlatformCall::ListHosts.limit(), ms(3_000));
}
