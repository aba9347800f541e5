//! Applies the results of calls to the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::Command;
use hg_model::{HostName, Time};
use hg_policy::AdviceRequest;
use hg_replica::Disk;
use slog::{info, warn};

use super::departure::{Departure, DepartureCause};
use super::platform_calls::OrderTargets;
use super::telemetry;
use super::{Advice, PlatformCallReport};
use crate::Core;
use crate::core::Purpose;

impl<D: Disk> Core<D> {
    /// Applies the result of a call to the platform.
    pub(crate) fn on_platform_call_report(&mut self, now: Time, report: PlatformCallReport) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        let ledger = self.ledger.workflows();
        leadership.changed = true;
        let mut commands = Vec::new();
        let mut down = BTreeMap::new();
        match report {
            PlatformCallReport::Host(order, result) => {
                let calls = &mut leadership.platform_calls;
                let outcome = calls.record_order_result(now, &order, &result, ledger);
                let attempts = calls.attempts(&order);
                info!(self.log, "workflow: host ordered"; "event" => "host.ordered",
                    "host" => %order.host, "kind" => ?order.kind, "result" => ?result,
                    "attempts" => attempts.sent(), "without_answer" => attempts.without_answer(),
                    "ended" => outcome.ended.as_ref().map(OrderTargets::len));
                commands.extend(outcome.command);
                down.extend(outcome.ended.map(|ended| (order.host, ended)));
            }
            PlatformCallReport::Hosts(listed) => {
                match &listed {
                    Err(cause) => {
                        warn!(self.log, "workflow: hosts not listed"; "event" => "hosts.unlisted",
                            "cause" => cause);
                    }
                    Ok(listing) if !listing.unreadable.is_empty() => {
                        warn!(self.log, "workflow: entries of the list of hosts are unreadable";
                            "event" => "hosts.unreadable", "entries" => listing.unreadable.len(),
                            "read" => listing.hosts.len(), "first" => &listing.unreadable[0]);
                    }
                    Ok(_) => {}
                }
                let changes = leadership.platform_calls.record_hosts(now, listed, ledger);
                (commands, down) = (changes.commands, changes.ended);
            }
            PlatformCallReport::Advice(request, answer) => self.on_advice(now, &request, answer),
        }
        self.deregister_upstreams_on(now, &down);
        for command in commands {
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }

    fn on_advice(&mut self, now: Time, request: &AdviceRequest, answer: Result<Advice, String>) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        telemetry::record_advice(answer.is_ok());
        let requested_at =
            leadership.platform_calls.record_advice_result(now, answer.is_ok()).unwrap_or(now);
        let advice = match answer {
            Ok(advice) => advice,
            Err(cause) => {
                warn!(self.log, "workflow: advice request failed"; "event" => "advice.failed",
                    "step" => %request.step, "cause" => cause);
                return;
            }
        };
        info!(self.log, "workflow: advice received"; "event" => "advice.given",
            "step" => %request.step, "asked" => request.upstreams.len(),
            "allowed" => advice.allowed.len(), "valid_ms" => advice.valid_ms);
        let until = requested_at.after(Duration::from_millis(advice.valid_ms));
        let ledger = self.ledger.workflows();
        leadership.scheduler.record_advice(ledger, request, &advice.allowed, until);
    }

    /// Deregisters the upstreams that ended with orders about their hosts, and asks the others there whether they still run: one
    /// may be the next on its host.
    fn deregister_upstreams_on(&mut self, now: Time, down: &BTreeMap<HostName, OrderTargets>) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        let mut departures = Vec::new();
        for report in self.ledger.workflows().upstreams().values() {
            let Some(host) = &report.host else { continue };
            let Some(ended) = down.get(host) else { continue };
            let (upstream, incarnation) = (report.name.clone(), report.incarnation);
            if ended.contains(&(upstream.clone(), incarnation)) {
                let cause = DepartureCause::HostDown(host.clone());
                departures.push(Departure { upstream, incarnation, cause });
            } else {
                info!(self.log, "workflow: the host of an upstream was taken down before";
                    "event" => "upstream.doubtful", "upstream" => %upstream,
                    "incarnation" => incarnation.0, "host" => %host);
                leadership.sessions.check_incarnation(&upstream);
            }
        }
        for departure in departures {
            self.on_departure(now, &departure);
        }
    }
}
