//! Cancellations that arrive before the submission.

use hg_ledger::TOMBSTONES_PER_ACCOUNT_MAX;
use hg_link::WorkflowReply;
use hg_model::{ResourceVector, StepSpec, WorkflowSpec, WorkflowState};

use crate::workflow_world::{Faults, World};

/// How long a new leader takes to be elected, in milliseconds.
const ELECTION_MS: u64 = 4_000;

fn spec() -> WorkflowSpec {
    WorkflowSpec::new("urgent", vec![StepSpec::new(1, ResourceVector::new(1, 1_000, 1_024))])
}

/// Guards against a workflow that runs after its cancellation was confirmed, since its submission was held up: also under another
/// leader, and when the submission is repeated (review/14).
#[test]
fn workflow_cancelled_before_its_submission_never_starts() {
    let mut world = World::new(1, Faults::default());
    assert_eq!(world.cancel("job-0"), Some(WorkflowReply::Unknown));
    world.submit_spec(1, spec());
    for _ in 0..2 {
        for _ in 0..2 {
            world.submit_spec(0, spec());
            world.run(1_000);
            assert_eq!(world.state(0), Some(WorkflowState::Cancelled));
        }
        world.change_leader();
        world.run(ELECTION_MS);
        assert_eq!(
            world.cancel("job-0"),
            Some(WorkflowReply::Unknown),
            "a cancellation is idempotent"
        );
    }
    world.run(ELECTION_MS);
    world.poll_states();
    assert_eq!(
        world.state(1),
        Some(WorkflowState::Completed),
        "the other caller waits for its workflow"
    );
}

/// Guards against a log and a memory that a caller fills with ids which no workflow has: beyond the bound it has to wait until
/// its oldest id may be forgotten.
#[test]
fn cancellations_of_unknown_ids_are_bounded() {
    let mut world = World::new(1, Faults::default());
    for number in 0..TOMBSTONES_PER_ACCOUNT_MAX {
        let reply = world.cancel(&format!("unknown-{number}"));
        assert_eq!(reply, Some(WorkflowReply::Unknown), "{number}");
    }
    let count = |world: &World| world.ledger().workflows().tombstones().count();
    assert_eq!(count(&world), TOMBSTONES_PER_ACCOUNT_MAX);
    let Some(WorkflowReply::Rejected { retry_after_ms, .. }) = world.cancel("one-more") else {
        panic!("the account has no room for another id");
    };
    assert_eq!(world.cancel("unknown-0"), Some(WorkflowReply::Unknown), "it is recorded");
    world.submit_spec(0, spec());
    world.run(500);
    assert!(world.cancel("job-0").is_some_and(|reply| matches!(reply, WorkflowReply::State(_))));
    world.run(retry_after_ms);
    assert_eq!(world.cancel("one-more"), Some(WorkflowReply::Unknown));
    assert_eq!(count(&world), TOMBSTONES_PER_ACCOUNT_MAX);
}
