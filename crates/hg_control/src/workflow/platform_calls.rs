//! A leader's calls to the platform: decides when each is due and applies its result.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{UpkeepStage, WorkflowCommand, WorkflowLedger};
use hg_model::{
    HostName, HostReport, HostState, Incarnation, PoolName, Term, Time, UpstreamName, WaveNumber,
};
use hg_policy::{AdviceRequest, HostMove, UpkeepOrder};

use super::order_attempts::OrderAttempts;
use super::{HostListing, HostOrder, HostOrderKind, HostOrderResult, PlatformCall};

#[cfg(test)]
mod tests;

/// How often the hosts are listed while a wave runs or the catalog has a standby pool.
const LIST_EVERY: Duration = Duration::from_millis(2_000);
/// Pause before an order about a host is sent again.
const ORDER_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Backoff after a failed request to the service that decides where steps may run; doubled each time.
const ADVICE_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the backoff.
const ADVICE_BACKOFF_MAX: Duration = Duration::from_millis(3_000);
/// A call without a result after this long counts as ended: the driver gives up earlier.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The incarnations of upstreams that an order about their host ends.
pub(crate) type OrderTargets = BTreeSet<(UpstreamName, Incarnation)>;

/// What follows from the result of an order about a host.
#[derive(Debug, Default)]
pub(crate) struct OrderOutcome {
    /// The new stage of the host's upkeep, if it has changed.
    pub(crate) command: Option<WorkflowCommand>,
    /// If the order is carried out: the incarnations that it has ended.
    pub(crate) ended: Option<OrderTargets>,
}

/// What a list of hosts shows.
#[derive(Debug, Default)]
pub(crate) struct HostChanges {
    /// The new stages of upkeeps.
    pub(crate) commands: Vec<WorkflowCommand>,
    /// The hosts for which an order is carried out, with the incarnations that it has ended.
    pub(crate) ended: BTreeMap<HostName, OrderTargets>,
}

/// A move that was decided in this term and is not known to be carried out.
#[derive(Debug)]
struct PendingMove {
    pool: PoolName,
    decided_at: Time,
    /// The upstreams that were on the host when it was decided, but for those in its new pool.
    targets: OrderTargets,
}

/// The platform calls of one leadership term.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    term: Term,
    /// No order about a host is given before: an order of an earlier leader may be in flight, and the platform
    /// treats alternating orders of two holders as a fault.
    first_order_at: Time,
    pub(crate) hosts: BTreeMap<HostName, HostReport>,
    /// The hosts of running waves that the last list left out.
    absent: BTreeSet<HostName>,
    listed_at: Option<Time>,
    listing_sent_at: Option<Time>,
    advice_sent_at: Option<Time>,
    advice_retry_at: Time,
    advice_failures: u32,
    /// When the last order about each host was sent.
    last_orders: BTreeMap<HostName, Time>,
    /// The attempts of the pending orders.
    attempts: BTreeMap<(HostName, HostOrderKind), OrderAttempts>,
    moves: BTreeMap<HostName, PendingMove>,
    /// When this term learned that the upkeep of a host has begun. A list that was requested before may show the host as it was
    /// until then.
    begun_at: BTreeMap<(WaveNumber, HostName), Time>,
}

impl PlatformCalls {
    pub(crate) const fn new(first_order_at: Time, term: Term) -> Self {
        Self {
            term,
            first_order_at,
            hosts: BTreeMap::new(),
            absent: BTreeSet::new(),
            listed_at: None,
            listing_sent_at: None,
            advice_sent_at: None,
            advice_retry_at: Time(0),
            advice_failures: 0,
            last_orders: BTreeMap::new(),
            attempts: BTreeMap::new(),
            moves: BTreeMap::new(),
            begun_at: BTreeMap::new(),
        }
    }

    /// Whether the list of hosts is needed: there is a standby pool or a running wave.
    fn needs_hosts(ledger: &WorkflowLedger) -> bool {
        let has_standby = ledger.catalog().is_some_and(|c| c.pools.iter().any(|pool| pool.standby));
        has_standby || ledger.waves().running().next().is_some()
    }

    /// The hosts with a pending move to another pool, and that pool.
    pub(crate) fn moving(&self) -> BTreeMap<HostName, PoolName> {
        self.moves.iter().map(|(host, pending)| (host.clone(), pending.pool.clone())).collect()
    }

    /// The attempts of an order in this term.
    pub(crate) fn attempts(&self, order: &HostOrder) -> OrderAttempts {
        let key = (order.host.clone(), order.kind.clone());
        self.attempts.get(&key).copied().unwrap_or_default()
    }

    /// The calls that are due now.
    pub(crate) fn advance(&mut self, now: Time, ledger: &WorkflowLedger) -> Vec<PlatformCall> {
        let mut due = Vec::new();
        if Self::needs_hosts(ledger) && self.may_list(now) {
            self.listing_sent_at = Some(now);
            due.push(PlatformCall::ListHosts);
        }
        if now < self.first_order_at {
            return due;
        }
        let pending = self.pending_orders(ledger);
        let moves = &self.moves;
        self.attempts.retain(|(host, kind), _| match kind {
            HostOrderKind::Upkeep(_) => pending.get(host) == Some(kind),
            HostOrderKind::Move(pool) => moves.get(host).is_some_and(|m| m.pool == *pool),
        });
        for (host, kind) in pending {
            let again = self.last_orders.get(&host).map(|at| at.after(ORDER_RETRY_AFTER));
            if again.is_none_or(|again| now >= again) {
                self.last_orders.insert(host.clone(), now);
                self.attempts.entry((host.clone(), kind.clone())).or_default().record_sent();
                due.push(PlatformCall::Host(HostOrder { host, kind, fence: self.term }));
            }
        }
        due
    }

    fn may_list(&self, now: Time) -> bool {
        let is_listing = self.listing_sent_at.is_some_and(|at| now < at.after(CALL_TIMEOUT));
        !is_listing && self.listed_at.is_none_or(|at| now >= at.after(LIST_EVERY))
    }

    /// The orders about hosts that are pending: upkeeps from the log, and moves decided in this term.
    fn pending_orders(&self, ledger: &WorkflowLedger) -> BTreeMap<HostName, HostOrderKind> {
        let mut pending = BTreeMap::new();
        for wave in ledger.waves().running() {
            let ordered = wave.hosts.iter().filter(|(_, s)| **s == UpkeepStage::Ordered);
            let kind = HostOrderKind::Upkeep(wave.spec.number);
            pending.extend(ordered.map(|(host, _)| (host.clone(), kind.clone())));
        }
        for (host, PendingMove { pool, .. }) in &self.moves {
            pending.entry(host.clone()).or_insert_with(|| HostOrderKind::Move(pool.clone()));
        }
        pending
    }

    /// The commands that record decided upkeeps; they are in the log before they are ordered.
    pub(crate) fn order_upkeeps(upkeeps: Vec<UpkeepOrder>) -> Vec<WorkflowCommand> {
        let ordered = upkeeps.into_iter().map(|UpkeepOrder { wave, host }| {
            WorkflowCommand::Upkeep { wave, host, stage: UpkeepStage::Ordered }
        });
        ordered.collect()
    }

    /// Adds moves that were decided.
    pub(crate) fn order_moves(&mut self, now: Time, moves: Vec<HostMove>, ledger: &WorkflowLedger) {
        for HostMove { host, pool } in moves {
            let known = self.moves.get(&host);
            if known.is_none_or(|known| known.pool != pool) {
                let targets = upstreams_to_move(&host, ledger, &pool);
                self.moves.insert(host, PendingMove { pool, decided_at: now, targets });
            }
        }
    }

    /// Whether no advice can be requested now: the service answers one request at a time, or has failed lately.
    pub(crate) fn is_advice_busy(&self, now: Time) -> bool {
        let is_pending = self.advice_sent_at.is_some_and(|at| now < at.after(CALL_TIMEOUT));
        is_pending || now < self.advice_retry_at
    }

    /// Records that advice is requested, and returns the call.
    pub(crate) fn request_advice(&mut self, now: Time, request: AdviceRequest) -> PlatformCall {
        self.advice_sent_at = Some(now);
        PlatformCall::RequestAdvice(request)
    }

    /// Records that the advice request was answered or failed. Returns when it was sent.
    pub(crate) fn record_advice_result(&mut self, now: Time, is_answered: bool) -> Option<Time> {
        if is_answered {
            self.advice_failures = 0;
        } else {
            let pause = ADVICE_BACKOFF * 2_u32.saturating_pow(self.advice_failures);
            self.advice_failures += 1;
            self.advice_retry_at = now.after(pause.min(ADVICE_BACKOFF_MAX));
        }
        self.advice_sent_at.take()
    }

    /// Records a list of hosts, and returns what it shows: upkeeps whose stage has changed, and orders that are carried out.
    pub(crate) fn record_hosts(
        &mut self,
        now: Time,
        listed: Result<HostListing, String>,
        ledger: &WorkflowLedger,
    ) -> HostChanges {
        let requested_at = self.listing_sent_at.take().unwrap_or(now);
        self.listed_at = Some(now);
        let Ok(HostListing { hosts, unreadable }) = listed else { return HostChanges::default() };
        let is_known = |host: &HostReport| {
            ledger.catalog().is_none_or(|catalog| catalog.pool(&host.pool).is_some())
        };
        // An entry of a pool that the catalog lacks may be another party's, and hides no other entry of the host.
        let (known, foreign): (Vec<_>, Vec<_>) = hosts.into_iter().partition(is_known);
        let by_name = foreign.into_iter().chain(known).map(|host| (host.name.clone(), host));
        self.hosts = by_name.collect();
        let of_waves = ledger.waves().running().flat_map(|wave| wave.hosts.keys());
        let absent: BTreeSet<HostName> =
            of_waves.filter(|host| !self.hosts.contains_key(*host)).cloned().collect();
        let absent_before = std::mem::replace(&mut self.absent, absent);
        // The list is read in pages, and one that changes meanwhile may leave a host out.
        let is_gone = |host: &HostName| unreadable.is_empty() && absent_before.contains(host);
        let mut commands = Vec::new();
        for wave in ledger.waves().running() {
            for (host, stage) in &wave.hosts {
                let was_ordered = self.last_orders.get(host).is_some_and(|at| *at >= requested_at);
                let is_settled = self.hosts.contains_key(host) || is_gone(host);
                let wave = wave.spec.number;
                let key = (wave, host.clone());
                let precedes_begin = self.begun_at.get(&key).is_some_and(|at| *at > requested_at);
                if was_ordered || !is_settled || precedes_begin {
                    continue;
                }
                let Some(stage) = self.next_stage(wave, host, *stage, ledger) else { continue };
                if stage == UpkeepStage::Begun {
                    self.begun_at.insert(key, now);
                }
                commands.push(upkeep(wave, host, stage));
            }
        }
        self.begun_at.retain(|(wave, host), _| {
            let stage = ledger.waves().get(*wave).and_then(|wave| wave.hosts.get(host));
            stage.is_some_and(|stage| stage.may_be_down())
        });
        let mut ended = self.settle_listed_moves(requested_at);
        ended.extend(hosts_in_upkeep(&commands, ledger));
        HostChanges { commands, ended }
    }

    /// Settles the moves of hosts that a list shows in their new pools. Returns what they have ended: a host that is off in its new
    /// pool may be busy for every further attempt.
    fn settle_listed_moves(&mut self, requested_at: Time) -> BTreeMap<HostName, OrderTargets> {
        let hosts = &self.hosts;
        let is_listed = |host: &HostName, pending: &mut PendingMove| {
            let report = hosts.get(host);
            requested_at > pending.decided_at && report.is_some_and(|r| r.pool == pending.pool)
        };
        let settled = self.moves.extract_if(.., is_listed);
        settled.map(|(host, pending)| (host, pending.targets)).collect()
    }

    /// The next stage of a host in a wave, if the list shows a change.
    fn next_stage(
        &self,
        wave: WaveNumber,
        host: &HostName,
        stage: UpkeepStage,
        ledger: &WorkflowLedger,
    ) -> Option<UpkeepStage> {
        let Some(report) = self.hosts.get(host) else {
            return (stage != UpkeepStage::Gone && stage != UpkeepStage::Done)
                .then_some(UpkeepStage::Gone);
        };
        match (stage, report.state) {
            // The list does not say of which wave the upkeep is.
            (UpkeepStage::Ordered, HostState::Upkeep) => {
                (!may_be_down_for_another(wave, host, ledger)).then_some(UpkeepStage::Begun)
            }
            (UpkeepStage::Begun, HostState::Up) => Some(UpkeepStage::Done),
            _ => None,
        }
    }

    /// Records the result of an order about a host, and returns what follows from it.
    pub(crate) fn record_order_result(
        &mut self,
        now: Time,
        order: &HostOrder,
        result: &HostOrderResult,
        ledger: &WorkflowLedger,
    ) -> OrderOutcome {
        if !matches!(result, HostOrderResult::Unanswered(_))
            && let Some(attempts) = self.attempts.get_mut(&(order.host.clone(), order.kind.clone()))
        {
            attempts.record_answer();
        }
        match &order.kind {
            HostOrderKind::Move(pool) => self.record_move_result(order, pool, result),
            HostOrderKind::Upkeep(wave) => {
                self.record_upkeep_result(now, order, *wave, result, ledger)
            }
        }
    }

    fn record_move_result(
        &mut self,
        order: &HostOrder,
        pool: &PoolName,
        result: &HostOrderResult,
    ) -> OrderOutcome {
        let is_done = *result == HostOrderResult::Done;
        let mut outcome =
            OrderOutcome { command: None, ended: is_done.then(OrderTargets::default) };
        if self.moves.get(&order.host).is_none_or(|pending| pending.pool != *pool) {
            return outcome;
        }
        let is_settled = match result {
            HostOrderResult::Unanswered(_) => false,
            // An attempt without an answer may be what the host is busy with.
            HostOrderResult::Busy => self.attempts(order).without_answer() == 0,
            HostOrderResult::Done
            | HostOrderResult::Refused
            | HostOrderResult::NoSuchHost
            | HostOrderResult::Fenced => true,
        };
        if is_settled
            && let Some(settled) = self.moves.remove(&order.host)
            && is_done
        {
            outcome.ended = Some(settled.targets);
        }
        outcome
    }

    fn record_upkeep_result(
        &mut self,
        now: Time,
        order: &HostOrder,
        wave: WaveNumber,
        result: &HostOrderResult,
        ledger: &WorkflowLedger,
    ) -> OrderOutcome {
        let stage = match result {
            HostOrderResult::Done => UpkeepStage::Begun,
            HostOrderResult::Refused | HostOrderResult::NoSuchHost => UpkeepStage::Gone,
            // The order stays pending: the host may be busy with an earlier attempt, of this leader or of another.
            HostOrderResult::Busy | HostOrderResult::Fenced | HostOrderResult::Unanswered(_) => {
                return OrderOutcome::default();
            }
        };
        let ended = (stage == UpkeepStage::Begun).then(|| {
            self.begun_at.entry((wave, order.host.clone())).or_insert(now);
            ledger.upkeep_targets().of(wave, &order.host).cloned().unwrap_or_default()
        });
        OrderOutcome { command: Some(upkeep(wave, &order.host, stage)), ended }
    }
}

/// Whether a host may be down for a running wave other than `wave`.
fn may_be_down_for_another(wave: WaveNumber, host: &HostName, ledger: &WorkflowLedger) -> bool {
    let others = ledger.waves().running().filter(|other| other.spec.number != wave);
    others.filter_map(|other| other.hosts.get(host)).any(|stage| stage.may_be_down())
}

fn upkeep(wave: WaveNumber, host: &HostName, stage: UpkeepStage) -> WorkflowCommand {
    WorkflowCommand::Upkeep { wave, host: host.clone(), stage }
}

/// The registered upstreams on a host that a move to a pool ends.
fn upstreams_to_move(host: &HostName, ledger: &WorkflowLedger, pool: &PoolName) -> OrderTargets {
    let reports = ledger.upstreams().values();
    let there = reports.filter(|u| u.host.as_ref() == Some(host) && u.pool != *pool);
    there.map(|report| (report.name.clone(), report.incarnation)).collect()
}

/// The hosts whose upkeep has begun according to `commands`, with the incarnations that it has ended.
fn hosts_in_upkeep(
    commands: &[WorkflowCommand],
    ledger: &WorkflowLedger,
) -> BTreeMap<HostName, OrderTargets> {
    let begun = commands.iter().filter_map(|command| match command {
        WorkflowCommand::Upkeep { wave, host, stage: UpkeepStage::Begun } => {
            let targets = ledger.upkeep_targets().of(*wave, host).cloned();
            Some((host.clone(), targets.unwrap_or_default()))
        }
        _ => None,
    });
    begun.collect()
}
