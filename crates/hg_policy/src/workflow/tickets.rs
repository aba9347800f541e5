//! Which upstreams another service allows a step to run on.
//!
//! Answers the load in which a service that decides slowly stands in the way of many steps: it is asked for the
//! steps that come first, for no more upstreams than a step is likely to need, and never twice for the same.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hg_model::{Incarnation, StepId, Time, UpstreamName};

use super::ready::ReadyStep;
use super::room_map::{RoomMap, Seat};

/// How many upstreams are named at once at least: about as many as one call is expected to cover.
const NAMED_LEAST: usize = 30;
/// How many are named at most; the service takes no more.
const NAMED_MAX: usize = 100;
/// Left of a ticket's time for the log and the way to the upstream.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// A question to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepId,
    /// The upstreams that it may go to.
    pub upstreams: Vec<UpstreamName>,
    /// How long the answer is expected to take, in milliseconds.
    pub expected_duration_ms: u64,
}

/// Allows one step on one life of an upstream for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Ticket {
    text: Arc<str>,
    incarnation: Incarnation,
    until: Time,
}

#[derive(Debug, Default)]
struct StepTickets {
    /// Which life of each upstream was asked about; the answer does not change.
    asked: BTreeMap<UpstreamName, Incarnation>,
    tickets: BTreeMap<UpstreamName, Ticket>,
}

/// What the service has answered.
#[derive(Debug, Default)]
pub struct TicketCache {
    steps: BTreeMap<StepId, StepTickets>,
}

/// Queries.
impl TicketCache {
    /// The ticket with which a step may start on an upstream.
    pub fn ticket(&self, now: Time, step: &StepId, upstream: &UpstreamName) -> Option<Arc<str>> {
        let ticket = self.steps.get(step)?.tickets.get(upstream)?;
        (now < ticket.until).then(|| Arc::clone(&ticket.text))
    }

    /// The upstreams on which a step may start now.
    pub(crate) fn allowed(
        &self,
        now: Time,
        step: &StepId,
        room: &RoomMap<'_>,
    ) -> BTreeSet<UpstreamName> {
        let tickets = self.steps.get(step).into_iter().flat_map(|step| &step.tickets);
        let is_valid = |name: &UpstreamName, ticket: &Ticket| {
            let seat = room.seats.get(name);
            now.after(TICKET_MARGIN) < ticket.until
                && seat.is_some_and(|seat| seat.report.incarnation == ticket.incarnation)
        };
        tickets.filter(|(name, t)| is_valid(name, t)).map(|(name, _)| name.clone()).collect()
    }

    /// What to ask about a step that could not be placed with the tickets at hand.
    pub(crate) fn ask(&self, step: &ReadyStep<'_>, room: &RoomMap<'_>) -> Option<AdviceRequest> {
        let advice = step.job.terms.advice?;
        let known = self.steps.get(&step.id);
        let is_open = |seat: &&Seat<'_>| {
            let name = &seat.report.name;
            let asked = known.and_then(|known| known.asked.get(name));
            let was_refused = asked == Some(&seat.report.incarnation)
                && !known.is_some_and(|known| known.tickets.contains_key(name));
            seat.suits(&step.job.terms.pool, step.spec) && !was_refused
        };
        let mut seats: Vec<&Seat<'_>> = room.seats.values().filter(is_open).collect();
        seats.sort_by_key(|seat| {
            let open = seat.open();
            (!step.spec.claim().fits(&open), std::cmp::Reverse(open.accelerators))
        });
        seats.truncate((step.waiting.len() * 2).clamp(NAMED_LEAST, NAMED_MAX));
        if seats.is_empty() {
            return None;
        }
        let upstreams: Vec<UpstreamName> = seats.iter().map(|s| s.report.name.clone()).collect();
        let count = u64::try_from(upstreams.len()).unwrap_or(u64::MAX);
        let expected_duration_ms =
            advice.decide_ms.saturating_add(advice.each_ms.saturating_mul(count));
        Some(AdviceRequest { step: step.id.clone(), upstreams, expected_duration_ms })
    }
}

/// Commands.
impl TicketCache {
    /// The service has answered: these upstreams are allowed for as long as `valid` from `asked_at`.
    pub(crate) fn note(
        &mut self,
        ask: &AdviceRequest,
        lives: &BTreeMap<UpstreamName, Incarnation>,
        allowed: &[(UpstreamName, Arc<str>)],
        until: Time,
    ) {
        let step = self.steps.entry(ask.step.clone()).or_default();
        for name in &ask.upstreams {
            if let Some(life) = lives.get(name) {
                step.asked.insert(name.clone(), *life);
            }
            step.tickets.remove(name);
        }
        for (name, text) in allowed {
            let Some(incarnation) = lives.get(name).copied() else { continue };
            let ticket = Ticket { text: Arc::clone(text), incarnation, until };
            step.tickets.insert(name.clone(), ticket);
        }
    }

    /// An upstream turned a ticket away: its tickets are asked for again.
    pub(crate) fn drop_tickets(&mut self, upstream: &UpstreamName) {
        for step in self.steps.values_mut() {
            step.tickets.remove(upstream);
            step.asked.remove(upstream);
        }
    }

    /// Keeps only what is known of steps that still have something to start.
    pub(crate) fn keep(&mut self, is_open: impl Fn(&StepId) -> bool) {
        self.steps.retain(|step, _| is_open(step));
    }
}
