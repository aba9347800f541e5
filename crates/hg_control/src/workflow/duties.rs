//! A leader's calls to the platform: when each is due, and what comes of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{UpkeepStage, WorkflowCommand, WorkflowLedger};
use hg_model::{HostName, HostReport, HostState, PoolName, Term, Time, WaveNumber};
use hg_policy::{AdviceRequest, HostMove, UpkeepOrder};

use super::{Duty, HostOrder, HostOrderKind, HostOrderResult};

/// A new leader gives no order about a host for this long: an earlier one's may be on its way, and the
/// platform takes orders of two holders by turns for a fault.
const FIRST_ORDER_AFTER: Duration = Duration::from_millis(3_500);
/// How often the hosts are listed while a wave runs or hosts stand by.
const LIST_EVERY: Duration = Duration::from_millis(2_000);
/// Pause before an order about a host is given again.
const ORDER_AGAIN: Duration = Duration::from_millis(1_000);
/// Pause after the service that decides where steps may run has failed; doubled each time.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// The pause does not grow beyond this.
const ASK_AGAIN_MAX: Duration = Duration::from_millis(3_000);
/// A call that nobody reported on after this is over: the driver gives up earlier.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// The calls of one lead.
#[derive(Debug)]
pub(crate) struct Duties {
    term: Term,
    since: Time,
    pub(crate) hosts: BTreeMap<HostName, HostReport>,
    listed_at: Option<Time>,
    listing_since: Option<Time>,
    asking_since: Option<Time>,
    ask_at: Time,
    ask_failures: u32,
    /// When each host was last ordered to do something.
    ordered: BTreeMap<HostName, Time>,
    moves: BTreeMap<HostName, PoolName>,
}

impl Duties {
    pub(crate) const fn new(now: Time, term: Term) -> Self {
        Self {
            term,
            since: now,
            hosts: BTreeMap::new(),
            listed_at: None,
            listing_since: None,
            asking_since: None,
            ask_at: Time(0),
            ask_failures: 0,
            ordered: BTreeMap::new(),
            moves: BTreeMap::new(),
        }
    }

    /// Whether hosts have to be known at all.
    fn needs_hosts(ledger: &WorkflowLedger) -> bool {
        let stands_by = ledger.catalog().is_some_and(|c| c.pools.iter().any(|pool| pool.standby));
        stands_by || ledger.waves().running().next().is_some()
    }

    /// The hosts that are about to change their pool.
    pub(crate) fn moving(&self) -> BTreeSet<HostName> {
        self.moves.keys().cloned().collect()
    }

    /// The calls that are due.
    pub(crate) fn advance(&mut self, now: Time, ledger: &WorkflowLedger) -> Vec<Duty> {
        let mut due = Vec::new();
        if Self::needs_hosts(ledger) && self.may_list(now) {
            self.listing_since = Some(now);
            due.push(Duty::ListHosts);
        }
        if now < self.since.after(FIRST_ORDER_AFTER) {
            return due;
        }
        for (host, kind) in self.wanted(ledger) {
            let again = self.ordered.get(&host).map(|at| at.after(ORDER_AGAIN));
            if again.is_none_or(|again| now >= again) {
                self.ordered.insert(host.clone(), now);
                due.push(Duty::Host(HostOrder { host, kind, fence: self.term }));
            }
        }
        due
    }

    fn may_list(&self, now: Time) -> bool {
        let is_listing = self.listing_since.is_some_and(|at| now < at.after(CALL_LIMIT));
        !is_listing && self.listed_at.is_none_or(|at| now >= at.after(LIST_EVERY))
    }

    /// The orders about hosts that stand in the log, or were decided in this lead.
    fn wanted(&self, ledger: &WorkflowLedger) -> BTreeMap<HostName, HostOrderKind> {
        let mut wanted = BTreeMap::new();
        for wave in ledger.waves().running() {
            let ordered = wave.hosts.iter().filter(|(_, s)| **s == UpkeepStage::Ordered);
            let kind = HostOrderKind::Upkeep(wave.spec.number);
            wanted.extend(ordered.map(|(host, _)| (host.clone(), kind.clone())));
        }
        for (host, pool) in &self.moves {
            wanted.entry(host.clone()).or_insert_with(|| HostOrderKind::Move(pool.clone()));
        }
        wanted
    }

    /// Upkeeps that were decided: they are logged before they are ordered.
    pub(crate) fn order_upkeeps(&self, upkeeps: Vec<UpkeepOrder>) -> Vec<WorkflowCommand> {
        let ordered = upkeeps.into_iter().map(|UpkeepOrder { wave, host }| {
            WorkflowCommand::Upkeep { wave, host, stage: UpkeepStage::Ordered }
        });
        ordered.collect()
    }

    /// Moves that were decided.
    pub(crate) fn order_moves(&mut self, moves: Vec<HostMove>) {
        self.moves.extend(moves.into_iter().map(|HostMove { host, pool }| (host, pool)));
    }

    /// What is to be asked about a step, unless a question is under way: the service answers one at a time.
    pub(crate) fn ask(&mut self, now: Time, ask: Option<AdviceRequest>) -> Option<Duty> {
        let is_asking = self.asking_since.is_some_and(|at| now < at.after(CALL_LIMIT));
        if is_asking || now < self.ask_at {
            return None;
        }
        let ask = ask?;
        self.asking_since = Some(now);
        Some(Duty::Ask(ask))
    }

    /// The question has been answered, or not. Returns when it was asked.
    pub(crate) fn note_asked(&mut self, now: Time, is_answered: bool) -> Option<Time> {
        if is_answered {
            self.ask_failures = 0;
        } else {
            let pause = ASK_AGAIN * 2_u32.saturating_pow(self.ask_failures);
            self.ask_failures += 1;
            self.ask_at = now.after(pause.min(ASK_AGAIN_MAX));
        }
        self.asking_since.take()
    }

    /// The hosts were listed. Returns what that tells of upkeeps.
    pub(crate) fn note_hosts(
        &mut self,
        now: Time,
        listed: Result<Vec<HostReport>, String>,
        ledger: &WorkflowLedger,
    ) -> Vec<WorkflowCommand> {
        let asked_at = self.listing_since.take().unwrap_or(now);
        self.listed_at = Some(now);
        let Ok(listed) = listed else { return Vec::new() };
        self.hosts = listed.into_iter().map(|host| (host.name.clone(), host)).collect();
        let mut commands = Vec::new();
        for wave in ledger.waves().running() {
            for (host, stage) in &wave.hosts {
                let was_ordered = self.ordered.get(host).is_some_and(|at| *at >= asked_at);
                let stage = if was_ordered { None } else { self.next_stage(host, *stage) };
                let wave = wave.spec.number;
                let host = host.clone();
                commands.extend(stage.map(|stage| WorkflowCommand::Upkeep { wave, host, stage }));
            }
        }
        commands
    }

    /// What the list tells of a host in a wave, if anything.
    fn next_stage(&self, host: &HostName, stage: UpkeepStage) -> Option<UpkeepStage> {
        let Some(report) = self.hosts.get(host) else {
            return (stage != UpkeepStage::Gone && stage != UpkeepStage::Done)
                .then_some(UpkeepStage::Gone);
        };
        match (stage, report.state) {
            (UpkeepStage::Ordered, HostState::Upkeep) => Some(UpkeepStage::Begun),
            (UpkeepStage::Begun, HostState::Up) => Some(UpkeepStage::Done),
            _ => None,
        }
    }

    /// What came of an order about a host. Returns what that tells of its upkeep.
    pub(crate) fn note_order(
        &mut self,
        order: &HostOrder,
        result: &HostOrderResult,
    ) -> Option<WorkflowCommand> {
        let is_settled = !matches!(result, HostOrderResult::Unanswered(_));
        match &order.kind {
            HostOrderKind::Move(_) => {
                if is_settled {
                    self.moves.remove(&order.host);
                }
                None
            }
            HostOrderKind::Upkeep(wave) => {
                let stage = stage_after(result)?;
                Some(upkeep(*wave, &order.host, stage))
            }
        }
    }
}

const fn stage_after(result: &HostOrderResult) -> Option<UpkeepStage> {
    match result {
        HostOrderResult::Done => Some(UpkeepStage::Begun),
        HostOrderResult::Busy => Some(UpkeepStage::Waiting),
        HostOrderResult::Refused | HostOrderResult::NoSuchHost => Some(UpkeepStage::Gone),
        HostOrderResult::Fenced | HostOrderResult::Unanswered(_) => None,
    }
}

fn upkeep(wave: WaveNumber, host: &HostName, stage: UpkeepStage) -> WorkflowCommand {
    WorkflowCommand::Upkeep { wave, host: host.clone(), stage }
}

/// The hosts that were found to have gone down.
pub(crate) fn hosts_taken_down(commands: &[WorkflowCommand]) -> BTreeSet<HostName> {
    let begun = commands.iter().filter_map(|command| match command {
        WorkflowCommand::Upkeep { host, stage: UpkeepStage::Begun, .. } => Some(host.clone()),
        _ => None,
    });
    begun.collect()
}
