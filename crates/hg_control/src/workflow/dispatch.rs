//! Orders that are due to one upstream.

use std::sync::Arc;
use std::time::Duration;

use hg_ledger::{LostRun, WorkflowLedger};
use hg_model::{Checkpoint, StepSpec, TaskId, Term, Time, UpstreamName};
use hg_policy::TicketCache;

use super::session::{RunSession, Session, StartStage, StopStage};
use super::sessions::Work;
use super::{Order, OrderId, OrderKind};

/// How long the answer to a start or stop may take; upstreams answer within a few milliseconds.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// How long a start stays valid, so that one that is carried out late does nothing.
const START_VALID_MS: u64 = 3_000;
/// How long an upstream may hold back a listing in which nothing is new.
pub(super) const LISTING_WAIT: Duration = Duration::from_millis(1_900);
/// The same where fillers work beside tasks that serve users, whose figures cover half a second.
const DISTURBED_WAIT: Duration = Duration::from_millis(300);
/// The same where urgent tasks run: one that stands still is to be found while it can still end in time.
const URGENT_WAIT: Duration = Duration::from_millis(600);
/// How long a listing may take beyond that.
const LISTING_SLACK: Duration = Duration::from_millis(700);

/// Sends what is due to one upstream.
pub(super) struct Dispatch<'a> {
    pub(super) term: Term,
    pub(super) next: &'a mut u64,
    pub(super) name: &'a UpstreamName,
    pub(super) now: Time,
    pub(super) work: &'a mut Work,
    pub(super) tickets: &'a TicketCache,
}

impl Dispatch<'_> {
    fn order(&mut self, session: &Session, kind: OrderKind, limit: Duration) -> OrderId {
        let id = OrderId(*self.next);
        *self.next += 1;
        self.work.orders.push(Order {
            id,
            upstream: self.name.clone(),
            incarnation: session.incarnation,
            address: session.address,
            fence: self.term,
            kind,
            limit,
        });
        id
    }

    /// Starts, stops and gives up runs.
    pub(super) fn runs(
        &mut self,
        session: &mut Session,
        ledger: &WorkflowLedger,
        lost: &mut Vec<LostRun>,
    ) {
        let over = session.leases_are_over(self.now);
        let tasks: Vec<TaskId> = session.runs.keys().cloned().collect();
        for task in tasks {
            let run = session.runs.get(&task).cloned();
            let Some(run) = run.filter(|run| !run.is_losing(self.now)) else {
                continue;
            };
            let never_sent = !run.may_be_there() && run.stop == StopStage::Wanted;
            let lapsed = over && run.may_be_there();
            if never_sent || lapsed {
                lost.push(self.give_up(session, &task, &run));
            } else if self.now < session.retry_at {
                // It left an order unanswered just now.
            } else if run.stop == StopStage::Wanted {
                let kind = OrderKind::Stop { task: task.clone(), run: run.run };
                let id = self.order(session, kind, ANSWER_LIMIT);
                update(session, &task, |run| run.stop = StopStage::Sent(id));
            } else if run.start == StartStage::Unsent && run.stop == StopStage::Unwanted {
                self.start(session, ledger, &task, &run);
            }
        }
    }

    /// Stops what runs there although it is not open.
    pub(super) fn strays(&mut self, session: &mut Session) {
        for (task, run) in std::mem::take(&mut session.strays) {
            // Nothing follows from the answer: the next listing shows whether it is gone.
            self.order(session, OrderKind::Stop { task, run }, ANSWER_LIMIT);
        }
    }

    /// Tells runs to work at another pace.
    pub(super) fn pace(&mut self, session: &mut Session) {
        for (task, (run, percent)) in std::mem::take(&mut session.paces) {
            if session.runs.get(&task).is_some_and(|known| known.run == run) {
                let kind = OrderKind::Pace { task: task.clone(), run, percent };
                let id = self.order(session, kind, ANSWER_LIMIT);
                session.pacing.insert(id, task);
            }
        }
    }

    fn give_up(&self, session: &mut Session, task: &TaskId, run: &RunSession) -> LostRun {
        update(session, task, |run| run.note_losing(self.now));
        run.lost(task, self.name)
    }

    fn start(
        &mut self,
        session: &mut Session,
        ledger: &WorkflowLedger,
        task: &TaskId,
        run: &RunSession,
    ) {
        let first_look = run.in_doubt && run.unanswered == 0;
        if first_look {
            // An earlier lead may have started it; the next listing tells.
            return;
        }
        let Some((content, checkpoint)) = start_content(ledger, task) else { return };
        let Some(lease_until) = session.grant(self.now, START_VALID_MS) else { return };
        let (task, run) = (task.clone(), run.run);
        let ticket = self.tickets.ticket(self.now, &task.step, self.name);
        let kind =
            OrderKind::Start { task: task.clone(), run, content, lease_until, checkpoint, ticket };
        let id = self.order(session, kind, ANSWER_LIMIT);
        update(session, &task, |run| run.start = StartStage::Sent(id));
    }

    /// Renews the lease and asks for the lists.
    pub(super) fn renewal(
        &mut self,
        session: &mut Session,
        ledger: &WorkflowLedger,
        lease_max_ms: u64,
    ) {
        let is_due = session.needs_listing()
            || session.acknowledged > session.told
            || session.unseen
            || (!session.runs.is_empty() && !session.has_clock());
        let blocked =
            session.renewal.is_some() || session.is_noting(self.now) || self.now < session.renew_at;
        if !is_due || blocked {
            return;
        }
        let wait = if session.unseen || session.runs.is_empty() {
            Duration::ZERO
        } else if has_disturbance(session, ledger) {
            DISTURBED_WAIT
        } else if has_urgent(session, ledger) {
            URGENT_WAIT
        } else {
            LISTING_WAIT
        };
        let lease_until = session.renewal(self.now, lease_max_ms);
        let acknowledged = session.acknowledgement(self.now);
        session.telling = acknowledged;
        let kind = OrderKind::Renew { lease_until, acknowledged, wait };
        session.renewal = Some(self.order(session, kind, wait + LISTING_SLACK));
    }
}

fn update(session: &mut Session, task: &TaskId, change: impl FnOnce(&mut RunSession)) {
    if let Some(run) = session.runs.get_mut(task) {
        change(run);
    }
}

/// What a start hands to the upstream.
fn start_content(ledger: &WorkflowLedger, task: &TaskId) -> Option<(Arc<str>, Option<Checkpoint>)> {
    let job = ledger.job(&task.step.job)?;
    let step = ledger.step_record(&task.step)?;
    let record = step.tasks.get(usize::try_from(task.index).ok()?)?;
    Some((Arc::clone(&job.spec.content), record.checkpoint.clone()))
}

/// Whether fillers work beside tasks that serve users of their own.
fn has_disturbance(session: &Session, ledger: &WorkflowLedger) -> bool {
    let specs: Vec<&StepSpec> =
        session.runs.keys().filter_map(|task| ledger.step_spec(&task.step)).collect();
    specs.iter().any(|spec| spec.best_effort) && specs.iter().any(|spec| spec.target.is_some())
}

/// Whether urgent tasks run there.
fn has_urgent(session: &Session, ledger: &WorkflowLedger) -> bool {
    let jobs = session.runs.keys().filter_map(|task| ledger.job(&task.step.job));
    jobs.into_iter().any(|job| job.terms.priority == 0)
}
