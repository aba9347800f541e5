//! Runs the attempts of jobs: prepare, commit, start, watch, stop, report.
//!
//! Its log lines start with `carrier:`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hg_link::{AttemptMember, AttemptOrder, AttemptPhase, Reply, Request};
use hg_model::{AttemptResult, LeaseOrder, LeaseState, StopCause};
use slog::{Logger, info, o, warn};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::member_outcome::attempt_result;
use crate::{Entry, LeaseReply, MemberOutcome, StopOrder, UpstreamError};

/// How long a start is retried that provably did not reach the upstream.
const START_RETRY_LIMIT: Duration = Duration::from_secs(1);
/// How long a result is offered to the control leader; afterwards it can be learned only from the
/// upstream, which remembers it.
const REPORT_LIMIT: Duration = Duration::from_secs(120);
/// Pause between queries of a lease, for upstreams that answer without waiting.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Starts a background task that runs an attempt, unless the attempt is being run already.
pub fn spawn(entry: &Arc<Entry>, order: AttemptOrder) {
    let Some(stop) = entry.jobs.register_runner(&order.job, order.attempt) else { return };
    let log = entry.log.new(o!("job" => order.job.to_string(), "attempt" => order.attempt));
    let runner = AttemptRunner { entry: Arc::clone(entry), order: Arc::new(order), stop, log };
    tokio::spawn(runner.run());
}

/// Runs one attempt of a job: a gang of members, each with a lease on one upstream.
struct AttemptRunner {
    entry: Arc<Entry>,
    order: Arc<AttemptOrder>,
    stop: watch::Receiver<Option<StopOrder>>,
    log: Logger,
}

impl AttemptRunner {
    async fn run(self) {
        let body = self.entry.jobs.body(&self.order.job);
        let outcomes = match (self.order.phase, body) {
            (AttemptPhase::Prepare, body) => {
                let Some(body) = self.prepare_and_commit(body).await else { return };
                self.run_all(Some(body)).await
            }
            (AttemptPhase::Start, Some(body)) => self.run_all(Some(body)).await,
            // Without the body nothing can be started; members that have started are watched to
            // their end.
            (AttemptPhase::Start, None) | (AttemptPhase::Adopt, _) => self.run_all(None).await,
        };
        self.report(&outcomes).await;
    }

    /// Prepares every member and requests the commit. Releases all leases if either fails.
    async fn prepare_and_commit(&self, body: Option<Bytes>) -> Option<Bytes> {
        let unprepared = match &body {
            Some(_) => self.prepare_all().await,
            None => self.order.members.first().cloned(),
        };
        if let Some(member) = unprepared {
            info!(self.log, "carrier: not prepared"; "event" => "gang.unprepared",
                "upstream" => %member.upstream);
            self.release_all().await;
            let (job, attempt) = (self.order.job.clone(), self.order.attempt);
            let upstream = member.upstream;
            self.request_control(Request::Release { job, attempt, upstream }, REPORT_LIMIT).await;
            return None;
        }
        let (job, attempt) = (self.order.job.clone(), self.order.attempt);
        let limit = self.prepared_limit();
        let reply = self.request_control(Request::Commit { job, attempt }, limit).await;
        if reply == Some(Reply::Go) {
            return body;
        }
        info!(self.log, "carrier: not committed"; "event" => "gang.uncommitted");
        self.release_all().await;
        None
    }

    /// How long prepared leases wait for the commit.
    fn prepared_limit(&self) -> Duration {
        Duration::from_millis(self.entry.settings.upstreams.prepare_ms) * 5
    }

    fn lease_order(&self, member: &AttemptMember) -> LeaseOrder {
        LeaseOrder {
            term: self.order.term,
            boot: member.boot,
            tasks: member.tasks,
            per_task: self.order.per_task,
            prepared_ms: u64::try_from(self.prepared_limit().as_millis() * 2).unwrap_or(u64::MAX),
        }
    }

    /// Prepares all members concurrently. Returns a member that was not prepared in time, if any.
    async fn prepare_all(&self) -> Option<AttemptMember> {
        let limit = Duration::from_millis(self.entry.settings.upstreams.prepare_ms);
        let mut calls = JoinSet::new();
        for member in self.order.members.clone() {
            let (entry, order) = (Arc::clone(&self.entry), self.lease_order(&member));
            calls.spawn(async move {
                let Some(address) = member.address else { return Some(member) };
                let call = entry.client.prepare(address, &member.lease, &order);
                match timeout(limit, call).await {
                    Ok(Ok(reply)) if reply.state == LeaseState::Prepared => None,
                    _ => Some(member),
                }
            });
        }
        let mut unprepared = None;
        while let Some(call) = calls.join_next().await {
            unprepared = unprepared.or(call.ok().flatten());
        }
        unprepared
    }

    /// Releases all leases. On an upstream that cannot be reached, the lease expires by itself.
    async fn release_all(&self) {
        let mut calls = JoinSet::new();
        for member in self.order.members.clone() {
            let (entry, order) = (Arc::clone(&self.entry), self.lease_order(&member));
            calls.spawn(async move {
                if let Some(address) = member.address {
                    drop(entry.client.release(address, &member.lease, &order).await);
                }
            });
        }
        while calls.join_next().await.is_some() {}
    }

    /// Starts every member, or adopts them without a body, and watches all to their end.
    ///
    /// The gang is broken when a member ends without an answer; the others are then stopped.
    async fn run_all(&self, body: Option<Bytes>) -> Vec<MemberOutcome> {
        let (broken_tx, broken) = watch::channel(false);
        let mut runs = JoinSet::new();
        for (index, member) in self.order.members.iter().enumerate() {
            let runner = MemberRunner {
                entry: Arc::clone(&self.entry),
                lease: self.lease_order(member),
                member: member.clone(),
                stop: self.stop.clone(),
                broken: broken.clone(),
                log: self.log.new(o!("upstream" => member.upstream.to_string())),
            };
            let body = body.clone();
            runs.spawn(async move { (index, runner.run(body).await) });
        }
        let mut outcomes = vec![MemberOutcome::Lost; self.order.members.len()];
        while let Some(ended) = runs.join_next().await {
            let Ok((index, outcome)) = ended else { continue };
            if outcome.breaks_gang() {
                broken_tx.send_replace(true);
            }
            outcomes[index] = outcome;
        }
        outcomes
    }

    /// Offers the result to the leader until it is recorded or `REPORT_LIMIT` has passed.
    async fn report(&self, outcomes: &[MemberOutcome]) {
        let result = attempt_result(&self.order.members, outcomes);
        info!(self.log, "carrier: attempt ended"; "event" => "attempt.ended",
            "result" => %result);
        if let (AttemptResult::Answered { .. }, Some(MemberOutcome::Done { content, .. })) =
            (&result, outcomes.first())
        {
            self.entry.jobs.hold_answer_content(&self.order.job, content.clone());
        }
        let (job, attempt) = (self.order.job.clone(), self.order.attempt);
        let reply =
            self.request_control(Request::Ended { job, attempt, result }, REPORT_LIMIT).await;
        match reply {
            Some(Reply::Job(view)) => {
                if let Some(answer) = view.answer {
                    self.entry.jobs.finish(&self.order.job, answer);
                }
            }
            other => {
                warn!(self.log, "carrier: result not recorded"; "event" => "attempt.unrecorded",
                    "reply" => ?other);
            }
        }
    }

    /// Sends a request to the control leader; `None` if no leader answers within `limit`.
    async fn request_control(&self, req: Request, limit: Duration) -> Option<Reply> {
        match self.entry.control.request(&req, limit).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                warn!(self.log, "carrier: control not reached"; "event" => "control.unreached",
                    "error" => %error);
                None
            }
        }
    }
}

/// Runs one member of an attempt on its upstream.
struct MemberRunner {
    entry: Arc<Entry>,
    member: AttemptMember,
    lease: LeaseOrder,
    stop: watch::Receiver<Option<StopOrder>>,
    /// Whether another member has broken the gang.
    broken: watch::Receiver<bool>,
    log: Logger,
}

/// What to do next for a member.
enum Step {
    /// Nothing; the member has ended.
    Ended(MemberOutcome),
    /// Watch the member, which runs or may run.
    Watch,
}

impl MemberRunner {
    async fn run(mut self, body: Option<Bytes>) -> MemberOutcome {
        let step = match body {
            Some(body) => self.start(body).await,
            None => self.adopt().await,
        };
        match step {
            Step::Ended(outcome) => outcome,
            Step::Watch => self.watch().await,
        }
    }

    /// Sends the start, and retries it only while it provably did not reach the upstream.
    ///
    /// After a start that may have arrived, the member is watched as if it ran.
    async fn start(&self, body: Bytes) -> Step {
        let Some(address) = self.member.address else {
            return Step::Ended(MemberOutcome::NeverStarted);
        };
        let deadline = Instant::now() + START_RETRY_LIMIT;
        loop {
            let sent =
                self.entry.client.start(address, &self.member.lease, &self.lease, body.clone());
            match sent.await {
                Ok(reply) => return self.after_start(reply),
                Err(error) if !error.unsent => {
                    self.log_error("start unclear", &error);
                    return Step::Watch;
                }
                Err(error) => {
                    self.log_error("start not sent", &error);
                    if Instant::now() >= deadline || !self.entry.client.retries.try_take() {
                        return Step::Ended(MemberOutcome::NeverStarted);
                    }
                    sleep(self.entry.client.retries.retry_delay()).await;
                }
            }
        }
    }

    /// What to do next after the reply to a start.
    fn after_start(&self, reply: LeaseReply) -> Step {
        // The start was refused because the upstream runs as another incarnation: nothing of this
        // attempt has started there.
        if reply.state == LeaseState::Unknown {
            return Step::Ended(MemberOutcome::NeverStarted);
        }
        MemberOutcome::from_reply(reply).map_or(Step::Watch, Step::Ended)
    }

    /// Takes over a lease that another entry may have started, and starts nothing.
    ///
    /// The release keeps a lease that has not started from ever starting.
    async fn adopt(&self) -> Step {
        let Some(address) = self.member.address else { return Step::Watch };
        let released = self.entry.client.release(address, &self.member.lease, &self.lease).await;
        match released {
            Ok(reply) if self.is_other_incarnation(&reply) => Step::Ended(MemberOutcome::Lost),
            Ok(reply) => MemberOutcome::from_reply(reply).map_or(Step::Watch, Step::Ended),
            Err(_) => Step::Watch,
        }
    }

    /// Polls a member that runs, or may run, until it has ended or is given up as lost.
    async fn watch(&mut self) -> MemberOutcome {
        let unreachable_limit = Duration::from_millis(self.entry.settings.upstreams.unreachable_ms);
        let mut last_reply = Instant::now();
        loop {
            if let Some(outcome) = self.stop_if_ordered().await {
                return outcome;
            }
            let Some(address) = self.member.address else { return MemberOutcome::Lost };
            let polled = tokio::select! {
                reply = self.entry.client.query(address, &self.member.lease, true) => reply,
                () = wait_until(&mut self.stop, Option::is_some) => continue,
                () = wait_until(&mut self.broken, |broken| *broken) => continue,
            };
            match polled {
                Ok(reply) if self.is_other_incarnation(&reply) => return MemberOutcome::Lost,
                Ok(reply) if reply.state == LeaseState::Unknown => {
                    // The upstream does not know the lease, so no start has reached it. The release
                    // in `adopt` makes sure that none takes effect later.
                    if let Step::Ended(outcome) = self.adopt().await {
                        return outcome;
                    }
                }
                Ok(reply) => {
                    last_reply = Instant::now();
                    if let Some(outcome) = MemberOutcome::from_reply(reply) {
                        return outcome;
                    }
                }
                Err(error) => {
                    self.log_error("not reached", &error);
                    if last_reply.elapsed() >= unreachable_limit {
                        return MemberOutcome::Lost;
                    }
                    sleep(self.entry.client.retries.retry_delay()).await;
                }
            }
            sleep(POLL_PAUSE).await;
        }
    }

    /// Stops the member if a stop was ordered or if another member broke the gang.
    async fn stop_if_ordered(&self) -> Option<MemberOutcome> {
        let order = self.stop.borrow().clone();
        let broken = *self.broken.borrow();
        let checkpoint = match order {
            Some(StopOrder::Abort(lost)) if lost == self.member.upstream => {
                return Some(MemberOutcome::Lost);
            }
            Some(StopOrder::Stop(cause)) => cause == StopCause::Reclaimed,
            Some(StopOrder::Abort(_)) => false,
            None if broken => false,
            None => return None,
        };
        Some(self.stop_now(checkpoint).await)
    }

    /// Sends the stop until the upstream confirms the end of the member.
    ///
    /// The member is given up as lost after `unreachable_ms`, or when the leader gives it up.
    async fn stop_now(&self, checkpoint: bool) -> MemberOutcome {
        let unreachable_limit = Duration::from_millis(self.entry.settings.upstreams.unreachable_ms);
        let deadline = Instant::now() + unreachable_limit;
        let Some(address) = self.member.address else { return MemberOutcome::Lost };
        loop {
            let stopped =
                self.entry.client.stop(address, &self.member.lease, &self.lease, checkpoint).await;
            match stopped {
                Ok(reply) if self.is_other_incarnation(&reply) => return MemberOutcome::Lost,
                Ok(reply) => {
                    if let Some(outcome) = MemberOutcome::from_reply(reply) {
                        return outcome;
                    }
                }
                Err(error) => self.log_error("stop not confirmed", &error),
            }
            if Instant::now() >= deadline || self.is_aborted() {
                return MemberOutcome::Lost;
            }
            sleep(self.entry.client.retries.retry_delay()).await;
        }
    }

    /// Whether the leader has given up this member as lost.
    fn is_aborted(&self) -> bool {
        *self.stop.borrow() == Some(StopOrder::Abort(self.member.upstream.clone()))
    }

    /// Whether the reply comes from another incarnation of the upstream than the lease is for.
    fn is_other_incarnation(&self, reply: &LeaseReply) -> bool {
        self.member.boot.is_some_and(|boot| reply.incarnation.is_some_and(|other| other != boot))
    }

    /// Logs a failed request to the member's upstream.
    fn log_error(&self, what: &str, error: &UpstreamError) {
        info!(self.log, "carrier: upstream trouble"; "event" => "upstream.trouble",
            "what" => what, "lease" => %self.member.lease, "error" => %error);
    }
}

/// Waits until a watched value satisfies a condition; forever if its sender is dropped.
async fn wait_until<T>(rx: &mut watch::Receiver<T>, condition: fn(&T) -> bool) {
    let is_closed = rx.wait_for(condition).await.is_err();
    if is_closed {
        std::future::pending::<()>().await;
    }
}
