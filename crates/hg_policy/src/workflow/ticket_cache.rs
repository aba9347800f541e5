//! Which upstreams another service allows a step to run on.
//!
//! Handles a service that decides slowly while many steps wait for it: requests are made for the
//! first steps in the order, with no more upstreams than a step is likely to need, and not again
//! with an upstream that the service did not allow.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hg_model::{Incarnation, StepId, Time, UpstreamName};

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

#[derive(Debug, Default)]
struct StepTickets {
    /// The incarnation of each upstream that was in a request; the answer for it does not change.
    requested: BTreeMap<UpstreamName, Incarnation>,
    tickets: BTreeMap<UpstreamName, Ticket>,
}

/// The tickets that the service has issued, and the upstreams that were in requests.
#[derive(Debug, Default)]
pub struct TicketCache {
    steps: BTreeMap<StepId, StepTickets>,
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

    /// The request for a step that could not be placed with the tickets at hand; `None` if its job
    /// needs no tickets or no upstream is left to ask about.
    pub(crate) fn next_request(
        &self,
        step: &ReadyStep<'_>,
        capacity: &CapacityMap<'_>,
    ) -> Option<AdviceRequest> {
        let advice = step.advice?;
        let known = self.steps.get(&step.id);
        let may_ask = |candidate: &&Candidate<'_>| {
            let name = &candidate.report.name;
            let requested = known.and_then(|known| known.requested.get(name));
            let was_refused = requested == Some(&candidate.report.incarnation)
                && !known.is_some_and(|known| known.tickets.contains_key(name));
            candidate.can_run(step.pool, step.spec) && !was_refused
        };
        let mut candidates: Vec<&Candidate<'_>> = capacity.candidates().filter(may_ask).collect();
        candidates.sort_by_key(|candidate| {
            let available = candidate.available();
            let is_full = !step.spec.claim().fits(&available);
            (is_full, std::cmp::Reverse(available.accelerators), &candidate.report.name)
        });
        candidates.truncate((step.waiting.len() * 2).clamp(UPSTREAMS_MIN, UPSTREAMS_MAX));
        if candidates.is_empty() {
            return None;
        }
        let upstreams: Vec<UpstreamName> =
            candidates.iter().map(|s| s.report.name.clone()).collect();
        let count = u64::try_from(upstreams.len()).unwrap_or(u64::MAX);
        let expected_duration_ms =
            advice.decide_ms.saturating_add(advice.each_ms.saturating_mul(count));
        Some(AdviceRequest { step: step.id.clone(), upstreams, expected_duration_ms })
    }
}

/// Commands.
impl TicketCache {
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
