//! Which upstreams another service allows a step to run on.
//!
//! Handles a service that decides slowly while many steps wait for it: requests are made for the
//! first steps in the order, with no more upstreams than a step is likely to need, and not again
//! with an upstream that the service did not allow. A step that cannot start all the same does not keep the
//! service from the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hg_model::{AdviceTiming, Incarnation, StepId, Time, UpstreamName, UpstreamReport};

use super::capacity_map::{Candidate, CapacityMap};
use super::ready_steps::ReadyStep;

/// The least number of upstreams in one request, if there are as many: about as many as one call is
/// expected to cover.
const UPSTREAMS_MIN: usize = 30;
/// The most upstreams in one request; the service accepts no more.
const UPSTREAMS_MAX: usize = 100;
/// The part of a ticket's validity that is reserved for the log write and the network delay to the
/// upstream.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// A request to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepId,
    /// The upstreams on which it could run.
    pub upstreams: Vec<UpstreamName>,
    /// How long the answer is expected to take, in milliseconds.
    pub expected_duration_ms: u64,
}

/// Allows one step to run on one incarnation of an upstream for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Ticket {
    text: Arc<str>,
    incarnation: Incarnation,
    until: Time,
}

/// When a step needs the tickets that it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// Now: an upstream has room, or the step may preempt.
    Now,
    /// Once an upstream has room.
    InAdvance,
}

#[derive(Debug, Default)]
struct StepTickets {
    /// The incarnation of each upstream that was in a request; the answer for it does not change.
    requested: BTreeMap<UpstreamName, Incarnation>,
    tickets: BTreeMap<UpstreamName, Ticket>,
    /// When the last request was made.
    requested_at: Option<Time>,
}

impl StepTickets {
    /// Whether a request about an upstream can yield what is lacking: the service has not withheld the ticket, and none is
    /// valid for longer than a request takes.
    fn needs_ticket(&self, now: Time, advice: AdviceTiming, report: &UpstreamReport) -> bool {
        if self.requested.get(&report.name) != Some(&report.incarnation) {
            return true;
        }
        let renewal_ms = expected_duration_ms(advice, self.tickets.len());
        let needed_until = now.after(TICKET_MARGIN).after(Duration::from_millis(renewal_ms));
        self.tickets.get(&report.name).is_some_and(|ticket| ticket.until <= needed_until)
    }
}

/// How long a request about a number of upstreams is expected to take, in milliseconds.
fn expected_duration_ms(advice: AdviceTiming, upstreams: usize) -> u64 {
    let upstreams = u64::try_from(upstreams).unwrap_or(u64::MAX);
    advice.decide_ms.saturating_add(advice.each_ms.saturating_mul(upstreams))
}

/// The tickets that the service has issued, and the upstreams that were in requests.
#[derive(Debug, Default)]
pub struct TicketCache {
    steps: BTreeMap<StepId, StepTickets>,
    /// The step that the last request was about.
    last_requested: Option<StepId>,
}

/// Queries.
impl TicketCache {
    /// The ticket that allows a step to start on an upstream, if it is still valid.
    pub fn ticket(&self, now: Time, step: &StepId, upstream: &UpstreamName) -> Option<Arc<str>> {
        let ticket = self.steps.get(step)?.tickets.get(upstream)?;
        (now < ticket.until).then(|| Arc::clone(&ticket.text))
    }

    /// The upstreams on which a step may start now.
    pub(crate) fn allowed(
        &self,
        now: Time,
        step: &StepId,
        capacity: &CapacityMap<'_>,
    ) -> BTreeSet<UpstreamName> {
        let tickets = self.steps.get(step).into_iter().flat_map(|step| &step.tickets);
        let is_valid = |name: &UpstreamName, ticket: &Ticket| {
            let candidate = capacity.get(name);
            now.after(TICKET_MARGIN) < ticket.until
                && candidate
                    .is_some_and(|candidate| candidate.report.incarnation == ticket.incarnation)
        };
        tickets.filter(|(name, t)| is_valid(name, t)).map(|(name, _)| name.clone()).collect()
    }

    /// The next request to the service, for one of the steps that could not be placed, in the order in which they are
    /// served; `None` if no step has upstreams to ask about.
    ///
    /// The service handles one request at a time. So that no step keeps it to itself, the first step in the order has
    /// every other request at most; the one between goes to the step that has waited longest for one. Steps that
    /// could start now, or that may preempt, come before those that only wait for room.
    pub(crate) fn next_request(
        &self,
        now: Time,
        unplaced: &[&ReadyStep<'_>],
        capacity: &CapacityMap<'_>,
    ) -> Option<AdviceRequest> {
        let by_rank: Vec<&ReadyStep<'_>> =
            unplaced.iter().copied().filter(|step| step.advice.is_some()).collect();
        let mut by_age = by_rank.clone();
        by_age.sort_by_key(|step| self.steps.get(&step.id).and_then(|known| known.requested_at));
        [Need::Now, Need::InAdvance].into_iter().find_map(|need| {
            let request = |step: &&ReadyStep<'_>| self.request(now, step, capacity, need);
            let first = by_rank.iter().find_map(request)?;
            if self.last_requested.as_ref() != Some(&first.step) {
                return Some(first);
            }
            by_age.iter().find_map(request)
        })
    }

    /// The request for one step, if it has that need for one.
    fn request(
        &self,
        now: Time,
        step: &ReadyStep<'_>,
        capacity: &CapacityMap<'_>,
        need: Need,
    ) -> Option<AdviceRequest> {
        let advice = step.advice?;
        let known = self.steps.get(&step.id);
        let is_needed = |candidate: &&Candidate<'_>| {
            candidate.can_run(step.pool, step.spec)
                && known.is_none_or(|known| known.needs_ticket(now, advice, candidate.report))
        };
        let is_full = |candidate: &Candidate<'_>| !step.spec.claim().fits(&candidate.available());
        let mut candidates: Vec<&Candidate<'_>> = capacity.candidates().filter(is_needed).collect();
        let has_room = candidates.iter().any(|candidate| !is_full(candidate));
        let is_needed_now = has_room || step.is_urgent();
        if candidates.is_empty() || is_needed_now != (need == Need::Now) {
            return None;
        }
        candidates.sort_by_key(|candidate| {
            let accelerators = std::cmp::Reverse(candidate.available().accelerators);
            (is_full(candidate), accelerators, &candidate.report.name)
        });
        candidates.truncate((step.waiting.len() * 2).clamp(UPSTREAMS_MIN, UPSTREAMS_MAX));
        let upstreams: Vec<UpstreamName> =
            candidates.iter().map(|s| s.report.name.clone()).collect();
        let expected_duration_ms = expected_duration_ms(advice, upstreams.len());
        Some(AdviceRequest { step: step.id.clone(), upstreams, expected_duration_ms })
    }
}

/// Commands.
impl TicketCache {
    /// Records that a request is being made.
    pub(crate) fn record_request(&mut self, now: Time, request: &AdviceRequest) {
        self.steps.entry(request.step.clone()).or_default().requested_at = Some(now);
        self.last_requested = Some(request.step.clone());
    }

    /// Records an answer of the service: the allowed upstreams with their tickets, valid up to
    /// `until`.
    pub(crate) fn record_answer(
        &mut self,
        request: &AdviceRequest,
        incarnations: &BTreeMap<UpstreamName, Incarnation>,
        allowed: &[(UpstreamName, Arc<str>)],
        until: Time,
    ) {
        let step = self.steps.entry(request.step.clone()).or_default();
        for name in &request.upstreams {
            if let Some(incarnation) = incarnations.get(name) {
                step.requested.insert(name.clone(), *incarnation);
            }
            step.tickets.remove(name);
        }
        for (name, text) in allowed {
            let Some(incarnation) = incarnations.get(name).copied() else { continue };
            let ticket = Ticket { text: Arc::clone(text), incarnation, until };
            step.tickets.insert(name.clone(), ticket);
        }
    }

    /// Drops the tickets for an upstream that refused one, so that they are requested again.
    pub(crate) fn invalidate(&mut self, upstream: &UpstreamName) {
        for step in self.steps.values_mut() {
            step.tickets.remove(upstream);
            step.requested.remove(upstream);
        }
    }

    /// Drops everything about steps that have nothing more to start.
    pub(crate) fn retain_steps(&mut self, is_open: impl Fn(&StepId) -> bool) {
        self.steps.retain(|step, _| is_open(step));
    }
}
