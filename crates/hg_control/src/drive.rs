//! The thread that drives the core.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hg_link::{Reply, Request};
use hg_replica::{Disk, StorageError};
use slog::{Logger, crit};
use tokio::sync::oneshot;

use crate::links::{Outbox, PeerFrame};
use crate::workflow::set_gauges;
use crate::{Actions, Clock, Core, DutyReport, Event, OrderReport, Ticket};

/// How long the core sleeps at most.
const TICK: Duration = Duration::from_millis(20);
/// Most inputs that wait for the core.
const QUEUE_MAX: usize = 16_384;
/// Most inputs that one step takes in; their writes share one sync.
const BATCH_MAX: usize = 1_024;
/// How often gauges are set.
const GAUGES: Duration = Duration::from_secs(1);

/// Something for the core.
#[derive(Debug)]
pub(crate) enum Input {
    /// Messages of another replica.
    Messages(PeerFrame),
    /// A request and where its reply goes.
    Request(Request, oneshot::Sender<Reply>),
    /// What came of an order to an upstream.
    Report(OrderReport),
    /// What came of a call to the platform.
    DutyReport(DutyReport),
    /// Leave the lead.
    HandOver,
    /// End.
    Stop,
}

/// The way to the core.
#[derive(Debug, Clone)]
pub struct Driver {
    tx: SyncSender<Input>,
}

impl Driver {
    /// Puts something before the core. Returns whether there was room.
    pub(crate) fn put(&self, input: Input) -> bool {
        match self.tx.try_send(input) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Asks the core and waits for its reply.
    pub async fn ask(&self, req: Request) -> Reply {
        let (tx, rx) = oneshot::channel();
        if !self.put(Input::Request(req, tx)) {
            return Reply::Busy;
        }
        rx.await.unwrap_or(Reply::Busy)
    }
}

/// Starts the thread; it ends with an error if the disk fails.
pub(crate) fn start<D: Disk + Send + 'static>(
    core: Core<D>,
    clock: Clock,
    outbox: Outbox,
    needs_membership: Arc<AtomicBool>,
    log: Logger,
) -> std::io::Result<(Driver, JoinHandle<Result<(), StorageError>>)> {
    let (tx, rx) = sync_channel(QUEUE_MAX);
    let drive = Drive {
        core,
        clock,
        outbox,
        driver: Driver { tx: tx.clone() },
        tickets: BTreeMap::new(),
        next: 0,
        gauges_at: None,
        needs_membership,
    };
    let thread = std::thread::Builder::new().name("core".to_owned()).spawn(move || {
        let result = drive.run(&rx);
        if let Err(error) = &result {
            crit!(log, "control: disk failed, ending"; "event" => "disk.failed", "error" => %error);
        }
        result
    })?;
    Ok((Driver { tx }, thread))
}

struct Drive<D> {
    core: Core<D>,
    clock: Clock,
    outbox: Outbox,
    /// The way back to this thread, for what comes of orders.
    driver: Driver,
    tickets: BTreeMap<Ticket, oneshot::Sender<Reply>>,
    next: u64,
    gauges_at: Option<Instant>,
    needs_membership: Arc<AtomicBool>,
}

impl<D: Disk> Drive<D> {
    fn run(mut self, rx: &Receiver<Input>) -> Result<(), StorageError> {
        loop {
            let first = match rx.recv_timeout(TICK) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let mut events = Vec::new();
            for input in first.into_iter().chain(rx.try_iter().take(BATCH_MAX)) {
                if matches!(input, Input::Stop) {
                    return Ok(());
                }
                self.take_in(input, &mut events);
            }
            let started = Instant::now();
            let inputs = events.len();
            let actions = self.core.handle(self.clock.now(), events)?;
            if inputs > 0 {
                metrics::histogram!("hg_control_step_seconds").record(started.elapsed());
                metrics::histogram!("hg_control_step_inputs").record(inputs as f64);
            }
            self.needs_membership.store(self.core.needs_membership(), Ordering::Relaxed);
            self.carry_out(actions);
            self.set_gauges();
        }
    }

    fn take_in(&mut self, input: Input, events: &mut Vec<Event>) {
        match input {
            Input::Messages(PeerFrame { from, messages }) => {
                let event = |message| Event::Message { from, message };
                events.extend(messages.into_iter().map(event));
            }
            Input::Request(req, tx) => {
                let ticket = Ticket(self.next);
                self.next += 1;
                self.tickets.insert(ticket, tx);
                events.push(Event::Request { ticket, req });
            }
            Input::Report(report) => events.push(Event::Report(report)),
            Input::DutyReport(report) => events.push(Event::DutyReport(report)),
            Input::HandOver => events.push(Event::HandOver),
            Input::Stop => {}
        }
    }

    fn carry_out(&mut self, actions: Actions) {
        self.outbox.send_messages(actions.messages);
        // The process may have stood still since the decision; ask the clock again.
        if self.core.can_propose(self.clock.now()) {
            self.outbox.send_directives(actions.directives);
            self.outbox.send_orders(actions.orders, &self.driver);
            self.outbox.send_duties(actions.duties, &self.driver);
        } else {
            self.outbox.take_back(actions.orders, &self.driver);
        }
        for (ticket, reply) in actions.replies {
            if let Some(tx) = self.tickets.remove(&ticket) {
                // Whoever asked may have given up.
                drop(tx.send(reply));
            }
        }
    }

    fn set_gauges(&mut self) {
        if self.gauges_at.is_some_and(|at| at.elapsed() < GAUGES) {
            return;
        }
        self.gauges_at = Some(Instant::now());
        let status = self.core.status();
        let now = self.clock.now();
        metrics::gauge!("hg_control_term").set(status.term.0 as f64);
        let votes = status.configuration.is_voter(&status.id);
        metrics::gauge!("hg_control_votes").set(f64::from(u8::from(votes)));
        metrics::gauge!("hg_control_voters").set(status.configuration.voters().count() as f64);
        metrics::gauge!("hg_control_commit").set(status.commit.0 as f64);
        metrics::gauge!("hg_control_log_entries").set(status.log_entries as f64);
        metrics::gauge!("hg_control_leads").set(f64::from(u8::from(self.core.can_propose(now))));
        let shunned = self.core.shunned_count(now);
        set_gauges(self.core.ledger().workflows(), shunned);
        metrics::gauge!("hg_control_lists").set(self.core.ledger().version().0 as f64);
        metrics::gauge!("hg_control_waiting").set(self.core.scheduler().waiting() as f64);
        metrics::gauge!("hg_control_holdings")
            .set(self.core.scheduler().allocations().len() as f64);
        metrics::gauge!("hg_control_aside").set(self.core.aside_count(now) as f64);
        metrics::gauge!("hg_control_shortages").set(self.core.scheduler().shortages().len() as f64);
    }
}
