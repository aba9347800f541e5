//! The thread that runs the core, and the handle through which other tasks reach it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hg_link::{Reply, Request};
use hg_replica::{Disk, StorageError};
use slog::{Logger, crit};
use tokio::sync::oneshot;

use crate::input_queue::InputQueue;
use crate::links::{Outbox, PeerFrame};
use crate::workflow::{ShareGauges, set_gauges};
use crate::{Actions, Clock, Core, Event, OrderReport, PlatformCallReport, Ticket};

#[cfg(test)]
mod tests;

/// The longest time between two steps of the core.
const TICK: Duration = Duration::from_millis(20);
/// The maximum number of queued inputs of each kind that one step takes, beside messages of replicas; their writes
/// share one sync.
const BATCH_MAX: usize = 256;
/// How often gauges are set.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// An input for the core's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// Messages of another replica.
    Messages(PeerFrame),
    /// A request and the channel for its reply.
    Request(Request, oneshot::Sender<Reply>),
    /// The result of an order to an upstream.
    Report(OrderReport),
    /// The result of a call to the platform.
    PlatformCallReport(PlatformCallReport),
    /// Transfer leadership to another replica, if this one has it.
    TransferLeadership,
    /// End the thread.
    Stop,
}

/// A handle that sends inputs to the core's thread.
#[derive(Debug, Clone)]
pub struct CoreHandle {
    queue: Arc<InputQueue>,
}

impl CoreHandle {
    /// Queues an input. Returns `false` if the queue is full or the thread has ended.
    pub(crate) fn send(&self, input: Input) -> bool {
        self.queue.push(Instant::now(), input)
    }

    /// Sends a request to the core and waits for its reply; `Busy` if the core has too much to do, `Unsure` if it ended
    /// while it handled the request.
    pub async fn request(&self, req: Request) -> Reply {
        let (tx, rx) = oneshot::channel();
        // A request that is not queued is answered at once.
        self.send(Input::Request(req, tx));
        // What the core had taken may be in the logs of other replicas, and a later leader may commit it.
        rx.await.unwrap_or(Reply::Unsure)
    }
}

/// Starts the core's thread. The thread ends with an error if the disk fails.
pub(crate) fn start<D: Disk + Send + 'static>(
    core: Core<D>,
    clock: Clock,
    outbox: Outbox,
    needs_membership: Arc<AtomicBool>,
    log: Logger,
) -> std::io::Result<(CoreHandle, JoinHandle<Result<(), StorageError>>)> {
    let queue = Arc::new(InputQueue::default());
    let core_loop = CoreLoop {
        core,
        clock,
        outbox,
        handle: CoreHandle { queue: Arc::clone(&queue) },
        pending_replies: BTreeMap::new(),
        next_ticket: 0,
        gauges_set_at: None,
        share_gauges: ShareGauges::default(),
        needs_membership,
    };
    let handle = CoreHandle { queue: Arc::clone(&queue) };
    let thread = std::thread::Builder::new().name("core".to_owned()).spawn(move || {
        let result = core_loop.run(&queue);
        queue.close();
        if let Err(error) = &result {
            crit!(log, "control: disk failed, exiting"; "event" => "disk.failed",
                "error" => %error);
        }
        result
    })?;
    Ok((handle, thread))
}

struct CoreLoop<D> {
    core: Core<D>,
    clock: Clock,
    outbox: Outbox,
    /// Returns the results of orders and platform calls to this thread.
    handle: CoreHandle,
    pending_replies: BTreeMap<Ticket, oneshot::Sender<Reply>>,
    next_ticket: u64,
    gauges_set_at: Option<Instant>,
    share_gauges: ShareGauges,
    needs_membership: Arc<AtomicBool>,
}

impl<D: Disk> CoreLoop<D> {
    fn run(mut self, queue: &InputQueue) -> Result<(), StorageError> {
        loop {
            let mut events = Vec::new();
            for input in queue.take(TICK, BATCH_MAX) {
                if matches!(input, Input::Stop) {
                    return Ok(());
                }
                self.add_events(input, &mut events);
            }
            let (started, now) = (Instant::now(), self.clock.now());
            let inputs = events.len();
            let actions = self.core.handle(now, events)?;
            let took = started.elapsed();
            self.core.record_step_time(now, took);
            if inputs > 0 {
                metrics::histogram!("hg_control_step_seconds").record(took);
                metrics::histogram!("hg_control_step_inputs").record(inputs as f64);
            }
            self.needs_membership.store(self.core.needs_membership(), Ordering::Relaxed);
            self.perform(actions);
            self.set_gauges();
        }
    }

    fn add_events(&mut self, input: Input, events: &mut Vec<Event>) {
        match input {
            Input::Messages(PeerFrame { from, messages }) => {
                let event = |message| Event::Message { from, message };
                events.extend(messages.into_iter().map(event));
            }
            Input::Request(req, tx) => {
                let ticket = Ticket(self.next_ticket);
                self.next_ticket += 1;
                self.pending_replies.insert(ticket, tx);
                events.push(Event::Request { ticket, req });
            }
            Input::Report(report) => events.push(Event::Report(report)),
            Input::PlatformCallReport(report) => events.push(Event::PlatformCallReport(report)),
            Input::TransferLeadership => events.push(Event::TransferLeadership),
            Input::Stop => {}
        }
    }

    fn perform(&mut self, actions: Actions) {
        self.outbox.send_messages(actions.messages);
        // Before any reply: orders that wait for a connection must not leave after a drain is acknowledged.
        self.outbox.close_to_starts(self.core.ledger().workflows().drains().active());
        // The process may have been suspended since the decision, so read the clock again.
        if self.core.can_propose(self.clock.now()) {
            self.outbox.send_directives(actions.directives);
            let fleet = self.core.ledger().workflows().upstreams();
            self.outbox.send_orders(actions.orders, fleet, &self.handle);
            self.outbox.call_platform(actions.platform_calls, &self.handle);
        } else {
            self.outbox.report_unsent(actions.orders, &self.handle);
        }
        for (ticket, reply) in actions.replies {
            if let Some(tx) = self.pending_replies.remove(&ticket) {
                // The requester may have stopped waiting.
                drop(tx.send(reply));
            }
        }
    }

    fn set_gauges(&mut self) {
        if self.gauges_set_at.is_some_and(|at| at.elapsed() < GAUGE_INTERVAL) {
            return;
        }
        self.gauges_set_at = Some(Instant::now());
        for (kind, count) in self.handle.queue.lengths() {
            metrics::gauge!("hg_control_inputs_waiting", "kind" => kind).set(count as f64);
        }
        let status = self.core.status();
        let now = self.clock.now();
        metrics::gauge!("hg_control_term").set(status.term.0 as f64);
        let is_voter = status.configuration.is_voter(&status.id);
        metrics::gauge!("hg_control_votes").set(f64::from(u8::from(is_voter)));
        metrics::gauge!("hg_control_voters").set(status.configuration.voters().count() as f64);
        metrics::gauge!("hg_control_commit").set(status.commit.0 as f64);
        metrics::gauge!("hg_control_log_entries").set(status.log_entries as f64);
        metrics::gauge!("hg_control_leads").set(f64::from(u8::from(self.core.can_propose(now))));
        let excluded = self.core.excluded_count(now);
        set_gauges(self.core.ledger().workflows(), excluded);
        self.share_gauges.set(self.core.account_shares());
        metrics::gauge!("hg_control_lists").set(self.core.ledger().version().0 as f64);
        metrics::gauge!("hg_control_waiting").set(self.core.scheduler().waiting_count() as f64);
        metrics::gauge!("hg_control_holdings")
            .set(self.core.scheduler().allocations().len() as f64);
        metrics::gauge!("hg_control_aside").set(self.core.quarantined_count(now) as f64);
        metrics::gauge!("hg_control_shortages").set(self.core.scheduler().shortages().len() as f64);
    }
}
