//! Carrying an attempt out: prepare, commit, start, watch, stop, report.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hg_link::{AttemptMember, AttemptOrder, AttemptPhase, Reply, Request};
use hg_model::{AttemptResult, LeaseOrder, LeaseState, StopCause};
use slog::{Logger, info, o, warn};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::member::combine;
use crate::{Entry, LeaseReply, MemberEnd, StopOrder, UpstreamError};

/// How long a start that provably did not arrive is tried again.
const START_LIMIT: Duration = Duration::from_secs(1);
/// How long a result is offered to the control leader before the upstream's memory must serve.
const REPORT_LIMIT: Duration = Duration::from_secs(120);
/// Pause between questions to an upstream that answers at once.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Carries an attempt out, unless that is being done already.
pub fn take_on(entry: &Arc<Entry>, order: AttemptOrder) {
    let Some(stop) = entry.jobs.take_on(&order.job, order.attempt) else { return };
    let log = entry.log.new(o!("job" => order.job.to_string(), "attempt" => order.attempt));
    let carrier = Carrier { entry: Arc::clone(entry), order: Arc::new(order), stop, log };
    tokio::spawn(carrier.carry());
}

/// One attempt on its way.
struct Carrier {
    entry: Arc<Entry>,
    order: Arc<AttemptOrder>,
    stop: watch::Receiver<Option<StopOrder>>,
    log: Logger,
}

impl Carrier {
    async fn carry(self) {
        let body = self.entry.jobs.body(&self.order.job);
        let ends = match (self.order.phase, body) {
            (AttemptPhase::Prepare, body) => {
                let Some(body) = self.prepare_and_commit(body).await else { return };
                self.run_all(Some(body)).await
            }
            (AttemptPhase::Start, Some(body)) => self.run_all(Some(body)).await,
            // Without the body nothing can be started; what has started is seen to its end.
            (AttemptPhase::Start, None) | (AttemptPhase::Adopt, _) => self.run_all(None).await,
        };
        self.report(&ends).await;
    }

    /// Prepares every member and asks for the commit. Gives the leases back if either fails.
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
            self.tell(Request::Release { job, attempt, upstream }, REPORT_LIMIT).await;
            return None;
        }
        let (job, attempt) = (self.order.job.clone(), self.order.attempt);
        let limit = self.prepared_for();
        let reply = self.tell(Request::Commit { job, attempt }, limit).await;
        if reply == Some(Reply::Go) {
            return body;
        }
        info!(self.log, "carrier: not committed"; "event" => "gang.uncommitted");
        self.release_all().await;
        None
    }

    /// How long a prepared lease waits for its start.
    fn prepared_for(&self) -> Duration {
        Duration::from_millis(self.entry.settings.upstreams.prepare_ms) * 5
    }

    fn lease_order(&self, member: &AttemptMember) -> LeaseOrder {
        LeaseOrder {
            term: self.order.term,
            boot: member.boot,
            tasks: member.tasks,
            per_task: self.order.per_task,
            prepared_ms: u64::try_from(self.prepared_for().as_millis() * 2).unwrap_or(u64::MAX),
        }
    }

    /// Prepares all members at once. Returns one that did not get ready in time, if any.
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
        while let Some(ready) = calls.join_next().await {
            unprepared = unprepared.or(ready.ok().flatten());
        }
        unprepared
    }

    /// Gives all leases back; an upstream that cannot be told lets them lapse by itself.
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

    /// Starts or adopts every member and sees all to their end. One that breaks stops the rest.
    async fn run_all(&self, body: Option<Bytes>) -> Vec<MemberEnd> {
        let (broken_tx, broken) = watch::channel(false);
        let mut runs = JoinSet::new();
        for (index, member) in self.order.members.iter().enumerate() {
            let run = MemberRun {
                entry: Arc::clone(&self.entry),
                lease: self.lease_order(member),
                member: member.clone(),
                stop: self.stop.clone(),
                broken: broken.clone(),
                log: self.log.new(o!("upstream" => member.upstream.to_string())),
            };
            let body = body.clone();
            runs.spawn(async move { (index, run.run(body).await) });
        }
        let mut ends = vec![MemberEnd::Lost; self.order.members.len()];
        while let Some(ended) = runs.join_next().await {
            let Ok((index, end)) = ended else { continue };
            if end.breaks_gang() {
                broken_tx.send_replace(true);
            }
            ends[index] = end;
        }
        ends
    }

    /// Offers the result to the leader until it is recorded.
    async fn report(&self, ends: &[MemberEnd]) {
        let result = combine(&self.order.members, ends);
        info!(self.log, "carrier: attempt ended"; "event" => "attempt.ended",
            "result" => %result);
        if let (AttemptResult::Answered { .. }, Some(MemberEnd::Done { content, .. })) =
            (&result, ends.first())
        {
            self.entry.jobs.hold_content(&self.order.job, content.clone());
        }
        let (job, attempt) = (self.order.job.clone(), self.order.attempt);
        let reply = self.tell(Request::Ended { job, attempt, result }, REPORT_LIMIT).await;
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

    async fn tell(&self, req: Request, limit: Duration) -> Option<Reply> {
        match self.entry.control.ask(&req, limit).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                warn!(self.log, "carrier: control not reached"; "event" => "control.unreached",
                    "error" => %error);
                None
            }
        }
    }
}

/// One member on its way.
struct MemberRun {
    entry: Arc<Entry>,
    member: AttemptMember,
    lease: LeaseOrder,
    stop: watch::Receiver<Option<StopOrder>>,
    broken: watch::Receiver<bool>,
    log: Logger,
}

/// What comes next for a member.
enum Step {
    Ended(MemberEnd),
    /// It runs, or may run.
    Watch,
}

impl MemberRun {
    async fn run(mut self, body: Option<Bytes>) -> MemberEnd {
        let step = match body {
            Some(body) => self.start(body).await,
            None => self.adopt().await,
        };
        match step {
            Step::Ended(end) => end,
            Step::Watch => self.watch().await,
        }
    }

    /// Sends the start. A start that may have arrived is never taken for one that did not.
    async fn start(&self, body: Bytes) -> Step {
        let Some(address) = self.member.address else {
            return Step::Ended(MemberEnd::NeverStarted);
        };
        let deadline = Instant::now() + START_LIMIT;
        loop {
            let sent =
                self.entry.client.start(address, &self.member.lease, &self.lease, body.clone());
            match sent.await {
                Ok(reply) => return self.after_start(reply),
                Err(error) if !error.unsent => {
                    self.note("start unclear", &error);
                    return Step::Watch;
                }
                Err(error) => {
                    self.note("start not sent", &error);
                    if Instant::now() >= deadline || !self.entry.client.retries.take() {
                        return Step::Ended(MemberEnd::NeverStarted);
                    }
                    sleep(self.entry.client.retries.pause()).await;
                }
            }
        }
    }

    fn after_start(&self, reply: LeaseReply) -> Step {
        // The upstream of another boot says that it refused; nothing of ours has started there.
        if reply.state == LeaseState::Unknown {
            return Step::Ended(MemberEnd::NeverStarted);
        }
        MemberEnd::from_reply(reply).map_or(Step::Watch, Step::Ended)
    }

    /// Looks after a lease that another entry may have started, and starts nothing.
    async fn adopt(&self) -> Step {
        let Some(address) = self.member.address else { return Step::Watch };
        let released = self.entry.client.release(address, &self.member.lease, &self.lease).await;
        match released {
            Ok(reply) if self.is_other_boot(&reply) => Step::Ended(MemberEnd::Lost),
            Ok(reply) => MemberEnd::from_reply(reply).map_or(Step::Watch, Step::Ended),
            Err(_) => Step::Watch,
        }
    }

    /// Sees a member that runs, or may run, to its end.
    async fn watch(&mut self) -> MemberEnd {
        let patience = Duration::from_millis(self.entry.settings.upstreams.unreachable_ms);
        let mut last_heard = Instant::now();
        loop {
            if let Some(end) = self.stop_if_asked().await {
                return end;
            }
            let Some(address) = self.member.address else { return MemberEnd::Lost };
            let look = tokio::select! {
                look = self.entry.client.look(address, &self.member.lease, true) => look,
                () = becomes(&mut self.stop, Option::is_some) => continue,
                () = becomes(&mut self.broken, |broken| *broken) => continue,
            };
            match look {
                Ok(reply) if self.is_other_boot(&reply) => return MemberEnd::Lost,
                Ok(reply) if reply.state == LeaseState::Unknown => {
                    // It was never told of the lease; see to it that it never will be.
                    if let Step::Ended(end) = self.adopt().await {
                        return end;
                    }
                }
                Ok(reply) => {
                    last_heard = Instant::now();
                    if let Some(end) = MemberEnd::from_reply(reply) {
                        return end;
                    }
                }
                Err(error) => {
                    self.note("not reached", &error);
                    if last_heard.elapsed() >= patience {
                        return MemberEnd::Lost;
                    }
                    sleep(self.entry.client.retries.pause()).await;
                }
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    /// Stops the member if it was asked to or if the gang broke.
    async fn stop_if_asked(&self) -> Option<MemberEnd> {
        let asked = self.stop.borrow().clone();
        let broken = *self.broken.borrow();
        let checkpoint = match asked {
            Some(StopOrder::Abort(lost)) if lost == self.member.upstream => {
                return Some(MemberEnd::Lost);
            }
            Some(StopOrder::Stop(cause)) => cause == StopCause::Reclaimed,
            Some(StopOrder::Abort(_)) => false,
            None if broken => false,
            None => return None,
        };
        Some(self.stop_now(checkpoint).await)
    }

    async fn stop_now(&self, checkpoint: bool) -> MemberEnd {
        let patience = Duration::from_millis(self.entry.settings.upstreams.unreachable_ms);
        let deadline = Instant::now() + patience;
        let Some(address) = self.member.address else { return MemberEnd::Lost };
        loop {
            let stopped =
                self.entry.client.stop(address, &self.member.lease, &self.lease, checkpoint).await;
            match stopped {
                Ok(reply) if self.is_other_boot(&reply) => return MemberEnd::Lost,
                Ok(reply) => {
                    if let Some(end) = MemberEnd::from_reply(reply) {
                        return end;
                    }
                }
                Err(error) => self.note("stop not confirmed", &error),
            }
            if Instant::now() >= deadline || self.is_aborted() {
                return MemberEnd::Lost;
            }
            sleep(self.entry.client.retries.pause()).await;
        }
    }

    /// Whether the leader has given this very member up.
    fn is_aborted(&self) -> bool {
        *self.stop.borrow() == Some(StopOrder::Abort(self.member.upstream.clone()))
    }

    fn is_other_boot(&self, reply: &LeaseReply) -> bool {
        self.member.boot.is_some_and(|boot| reply.boot.is_some_and(|other| other != boot))
    }

    fn note(&self, what: &str, error: &UpstreamError) {
        info!(self.log, "carrier: upstream trouble"; "event" => "upstream.trouble",
            "what" => what, "lease" => %self.member.lease, "error" => %error);
    }
}

/// Waits until a watched value is as wanted; for ever, if nobody can change it any more.
async fn becomes<T>(rx: &mut watch::Receiver<T>, is_wanted: fn(&T) -> bool) {
    let is_closed = rx.wait_for(is_wanted).await.is_err();
    if is_closed {
        std::future::pending::<()>().await;
    }
}
