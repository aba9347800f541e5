//! Guards against a workflow that runs after its caller has cancelled it, and against callers that keep the workflows of others
//! from running, or fill the replicated state, with ids that no workflow has.

use hg_ledger::{
    QueueTerms, TOMBSTONES_MAX, TOMBSTONES_PER_ACCOUNT_MAX, WorkflowCommand, WorkflowLedger,
};
use hg_model::{
    AccountName, JobId, PoolName, QueueName, ResourceVector, StepSpec, Time, WorkflowSpec,
    WorkflowState,
};

fn account(number: usize) -> Option<AccountName> {
    Some(AccountName::new(format!("account-{number}")).expect("a valid name"))
}

fn job(number: usize) -> JobId {
    JobId::new(format!("job-{number}")).expect("a valid name")
}

fn accept(ledger: &mut WorkflowLedger, account: Option<AccountName>, id: JobId) {
    let step = StepSpec::new(1, ResourceVector::new(1, 1_000, 1_024));
    ledger.apply(WorkflowCommand::Accept {
        id,
        spec: WorkflowSpec::new("work", vec![step]),
        terms: QueueTerms {
            queue: QueueName::new("queue").expect("a valid name"),
            pool: PoolName::new("pool").expect("a valid name"),
            priority: 1,
            attempts: 2,
            stretch_milli: 3_000,
            objective_ms: 1_000,
            advice: None,
        },
        account,
        at: Time(0),
    });
}

fn cancel(ledger: &mut WorkflowLedger, account: Option<AccountName>, id: JobId, at: u64) {
    ledger.apply(WorkflowCommand::CancelUnknown { id, account, at: Time(at) });
}

#[test]
fn submission_after_its_cancellation_is_not_accepted() {
    let mut ledger = WorkflowLedger::default();
    for account in [account(1), None] {
        cancel(&mut ledger, account.clone(), job(1), 1);
        for _ in 0..2 {
            accept(&mut ledger, account.clone(), job(1));
            assert_eq!(ledger.state(&job(1)), None, "{account:?}");
        }
    }
}

/// The submission may be in the log already when the cancellation is decided.
#[test]
fn submission_before_its_cancellation_is_cancelled() {
    let mut ledger = WorkflowLedger::default();
    accept(&mut ledger, account(1), job(1));
    cancel(&mut ledger, account(1), job(1), 1);
    assert_eq!(ledger.state(&job(1)), Some(WorkflowState::Cancelled));
    assert_eq!(ledger.tombstones().count(), 0);
}

#[test]
fn workflow_of_another_account_is_accepted_and_not_cancelled() {
    let mut ledger = WorkflowLedger::default();
    for other in [account(2), None] {
        cancel(&mut ledger, other, job(1), 1);
    }
    accept(&mut ledger, account(1), job(1));
    assert_eq!(ledger.state(&job(1)), Some(WorkflowState::Queued));
    for other in [account(2), None] {
        cancel(&mut ledger, other, job(1), 2);
    }
    assert_eq!(ledger.state(&job(1)), Some(WorkflowState::Queued));
}

#[test]
fn tombstones_are_bounded_by_age() {
    let mut ledger = WorkflowLedger::default();
    for (number, at) in [(0, 0), (1, 10), (2, 20)] {
        cancel(&mut ledger, account(1), job(number), at);
    }
    assert_eq!(ledger.oldest_end_time(), Some(Time(0)));
    ledger.apply(WorkflowCommand::Forget { before: Time(20) });
    assert_eq!(ledger.tombstones().count(), 1);
    assert_eq!(ledger.oldest_end_time(), Some(Time(20)));
    ledger.apply(WorkflowCommand::Forget { before: Time(21) });
    assert_eq!(ledger.oldest_end_time(), None);
}

#[test]
fn tombstones_of_an_account_are_bounded_by_count() {
    let mut ledger = WorkflowLedger::default();
    cancel(&mut ledger, account(2), job(0), 0);
    for (number, at) in (0..TOMBSTONES_PER_ACCOUNT_MAX).zip(1..) {
        assert_eq!(ledger.tombstones().next_evicted(account(1).as_ref()), None);
        cancel(&mut ledger, account(1), job(number), at);
    }
    assert_eq!(ledger.tombstones().next_evicted(account(1).as_ref()), Some(Time(1)));
    cancel(&mut ledger, account(1), job(TOMBSTONES_PER_ACCOUNT_MAX), 5_000);
    let tombstones = ledger.tombstones();
    assert_eq!(tombstones.count(), TOMBSTONES_PER_ACCOUNT_MAX + 1);
    let cancelled_at = |number, id| tombstones.cancelled_at(account(number).as_ref(), &job(id));
    assert_eq!(cancelled_at(1, 0), None, "the oldest is evicted");
    assert_eq!(cancelled_at(1, 1), Some(Time(2)));
    assert_eq!(cancelled_at(2, 0), Some(Time(0)));
}

/// Many accounts at their bounds evict none of an account that has few.
#[test]
fn tombstones_of_all_accounts_are_bounded_by_count() {
    let mut ledger = WorkflowLedger::default();
    cancel(&mut ledger, account(0), job(0), 0);
    let accounts = TOMBSTONES_MAX / TOMBSTONES_PER_ACCOUNT_MAX + 1;
    for number in 1..=accounts {
        for (id, at) in (0..TOMBSTONES_PER_ACCOUNT_MAX).zip(1..) {
            cancel(&mut ledger, account(number), job(id), at);
        }
    }
    let tombstones = ledger.tombstones();
    assert_eq!(tombstones.count(), TOMBSTONES_MAX);
    assert_eq!(tombstones.cancelled_at(account(0).as_ref(), &job(0)), Some(Time(0)));
}
