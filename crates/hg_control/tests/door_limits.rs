//! How long calls wait, and how a process drains.

use std::time::Duration;

use hg_control::{DrainPlan, Duty, caller_limit};
use hg_model::{JobId, StepId};
use hg_policy::AdviceRequest;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn caller_limit_leaves_time_for_the_way_back() {
    assert_eq!(caller_limit(Some(1_000)), ms(750));
    assert_eq!(caller_limit(Some(10)), ms(250), "an answer is tried in any case");
}

#[test]
fn caller_limit_ends_when_no_leader_is_to_be_expected() {
    assert_eq!(caller_limit(Some(30_000)), ms(1_400), "the caller is told to come back instead");
    assert_eq!(caller_limit(None), ms(1_400));
}

#[test]
fn drain_plan_fits_into_the_grace() {
    for grace in [ms(500), ms(2_000), ms(6_000), ms(30_000)] {
        let plan = DrainPlan::new(grace);
        assert!(plan.last_callers + plan.rest <= grace, "{plan:?}");
    }
    assert!(DrainPlan::new(ms(6_000)).last_callers >= ms(2_000), "two health checks");
}

#[test]
fn duty_limit_of_a_question_covers_the_time_that_it_takes() {
    let ask = AdviceRequest {
        step: StepId { job: JobId::new("j").unwrap(), occurrence: 0, step: 0 },
        upstreams: Vec::new(),
        expected_duration_ms: 700,
    };
    assert_eq!(Duty::Ask(ask).limit(), ms(2_700));
    assert_eq!(Duty::ListHosts.limit(), ms(3_000));
}
