//! The queue of inputs of the core's thread.
//!
//! Load pattern: more arrives than the core can handle. Messages between replicas come first, since the leader's
//! lease depends on them; then results of orders, which are as many as orders are in flight and are never dropped;
//! then what upstreams and operators ask; calls of callers come last. A call that has waited so long that its caller
//! will have left is refused unhandled, and while calls wait that long, new ones are refused at once.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hg_link::{Reply, Request, WorkflowRequest};
use tokio::sync::oneshot;

use crate::core_loop::Input;

#[cfg(test)]
mod tests;

/// The maximum number of queued messages; more are dropped, since the consensus protocol recovers from lost ones.
const MESSAGES_MAX: usize = 4_096;
/// The maximum number of queued requests of upstreams and operators, and of callers; more are refused.
const REQUESTS_MAX: usize = 16_384;
/// How long a call may wait in the queue. Callers wait 1.4 s, of which an answer needs the rest.
const CALL_DELAY_MAX: Duration = Duration::from_millis(600);

/// A queued request and the channel for its reply.
#[derive(Debug)]
struct Waiting {
    req: Request,
    tx: oneshot::Sender<Reply>,
    since: Instant,
}

#[derive(Debug, Default)]
struct Lanes {
    /// Messages of replicas, and what controls the thread.
    messages: VecDeque<Input>,
    /// Results of orders and platform calls.
    reports: VecDeque<Input>,
    /// Requests of upstreams, operators and entries.
    requests: VecDeque<Waiting>,
    /// Calls of callers.
    calls: VecDeque<Waiting>,
    /// Whether the thread has ended.
    is_closed: bool,
}

/// A queue with several senders and the core's thread as its receiver.
#[derive(Debug, Default)]
pub(crate) struct InputQueue {
    lanes: Mutex<Lanes>,
    filled: Condvar,
}

impl Lanes {
    fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.reports.is_empty()
            && self.requests.is_empty()
            && self.calls.is_empty()
    }

    /// Queues an input, or puts it into `refused` if it is a request. Returns whether it was queued.
    fn push(&mut self, now: Instant, input: Input, refused: &mut Vec<Waiting>) -> bool {
        match input {
            Input::Request(req, tx) => {
                let waiting = Waiting { req, tx, since: now };
                let is_closed = self.is_closed;
                let lane = if is_call(&waiting.req) { &mut self.calls } else { &mut self.requests };
                if is_closed || !lane_accepts(lane, &waiting) {
                    refused.push(waiting);
                    return false;
                }
                lane.push_back(waiting);
            }
            _ if self.is_closed => return false,
            Input::Messages(_) if self.messages.len() >= MESSAGES_MAX => return false,
            Input::Messages(_) | Input::TransferLeadership | Input::Stop => {
                self.messages.push_back(input);
            }
            Input::Report(_) | Input::PlatformCallReport(_) => self.reports.push_back(input),
        }
        true
    }

    /// Takes all messages and up to `max` inputs of each other lane, so that none of them starves. Calls that have
    /// waited for too long are put into `refused`.
    fn take(&mut self, now: Instant, max: usize, refused: &mut Vec<Waiting>) -> Vec<Input> {
        let mut inputs: Vec<Input> = self.messages.drain(..).collect();
        let count = self.reports.len().min(max);
        inputs.extend(self.reports.drain(..count));
        let count = self.requests.len().min(max);
        inputs.extend(self.requests.drain(..count).map(Waiting::into_input));
        for _ in 0..max {
            let Some(call) = self.calls.pop_front() else { break };
            if now.duration_since(call.since) > CALL_DELAY_MAX {
                refused.push(call);
            } else {
                inputs.push(call.into_input());
            }
        }
        inputs
    }
}

impl Waiting {
    fn into_input(self) -> Input {
        Input::Request(self.req, self.tx)
    }

    fn refuse(self) {
        metrics::counter!("hg_control_requests_refused").increment(1);
        // The requester may have stopped waiting.
        drop(self.tx.send(Reply::Busy));
    }
}

/// Whether one more request may wait in a lane.
fn lane_accepts(lane: &VecDeque<Waiting>, new: &Waiting) -> bool {
    let first_waits = lane.front().map(|first| new.since.duration_since(first.since));
    let is_slow = first_waits.is_some_and(|wait| wait > CALL_DELAY_MAX);
    lane.len() < REQUESTS_MAX && !(is_slow && is_call(&new.req))
}

const fn is_call(req: &Request) -> bool {
    matches!(req, Request::Workflow(WorkflowRequest::Call(_)) | Request::Submit { .. })
}

impl InputQueue {
    fn lock(&self) -> MutexGuard<'_, Lanes> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues an input. A request that cannot be queued is answered as busy. Returns whether the input was queued.
    pub(crate) fn push(&self, now: Instant, input: Input) -> bool {
        let mut refused = Vec::new();
        let is_queued = self.lock().push(now, input, &mut refused);
        if is_queued {
            self.filled.notify_one();
        }
        refused.into_iter().for_each(Waiting::refuse);
        is_queued
    }

    /// Waits up to `limit` for inputs and takes all messages and up to `max` of each other kind.
    pub(crate) fn take(&self, limit: Duration, max: usize) -> Vec<Input> {
        let lanes = self.lock();
        let waited = self.filled.wait_timeout_while(lanes, limit, |lanes| lanes.is_empty());
        let (mut lanes, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let mut refused = Vec::new();
        let inputs = lanes.take(Instant::now(), max, &mut refused);
        drop(lanes);
        refused.into_iter().for_each(Waiting::refuse);
        inputs
    }

    /// How many inputs wait, by kind.
    pub(crate) fn lengths(&self) -> [(&'static str, usize); 4] {
        let lanes = self.lock();
        [
            ("message", lanes.messages.len()),
            ("report", lanes.reports.len()),
            ("request", lanes.requests.len()),
            ("call", lanes.calls.len()),
        ]
    }

    /// Refuses everything from now on, and what is still queued.
    pub(crate) fn close(&self) {
        let mut lanes = self.lock();
        lanes.is_closed = true;
        let Lanes { requests, calls, .. } = &mut *lanes;
        let rest: Vec<Waiting> = requests.drain(..).chain(calls.drain(..)).collect();
        drop(lanes);
        rest.into_iter().for_each(Waiting::refuse);
    }
}
