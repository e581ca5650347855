//! Stores bills durably, in batches, and then settles their reservations.
//!
//! A bill is submitted to the quorum. If none answers within a short timeout, it is spooled to the
//! disk of any one replica. If no replica is reachable, it is sent again until it is stored. Until
//! then the reservation stays.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Billed;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::unit::Tokens;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::SpawnErr;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::controllers::allotment::Allotment;
use crate::edges::rpc::ControlClient;
use crate::metrics::Metrics;
use crate::timer::jitter;

/// Timeout of a submission to the quorum.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(300);
/// The same after a failed submission: short, so that bills reach a spool soon.
const DEGRADED_QUORUM_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of storing bills in a replica's spool.
const SPOOL_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff between two tries to store a batch; doubles after each try, up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Most bills in one batch.
const MAX_BATCH_BILLS: usize = 256;
/// Batches that are sent at the same time.
const MAX_BATCHES_IN_FLIGHT: usize = 4;

/// A bill with the reservation that it settles.
#[derive(Debug)]
pub struct PendingBill {
    /// Bill to store.
    pub bill: Bill,
    /// Reservation of the answered attempt.
    pub reservation: Reservation,
}

/// How a bill was stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SaveOutcome {
    /// By the quorum, as the first bill of its request.
    Recorded,
    /// By the quorum, which merged it with an earlier bill of the same request.
    Merged,
    /// In the spool on the disk of one replica.
    Spooled,
}

/// A handle on the actor that stores this router's bills. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Bills {
    actor: ActorRef<Message>,
    /// Number of bills that are not stored yet.
    pending: watch::Sender<usize>,
}

impl Bills {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// If the actor does not start.
    pub async fn start(
        control: ControlClient,
        allotment: Allotment,
        metrics: Arc<Metrics>,
    ) -> Result<Self, SpawnErr> {
        let pending = watch::Sender::new(0);
        let state = State {
            queue: VecDeque::new(),
            in_flight: 0,
            sender: Sender {
                control,
                allotment,
                metrics,
                degraded: Arc::new(AtomicBool::new(false)),
                pending: pending.clone(),
            },
        };
        let (actor, _) = Actor::spawn(None, BillsActor, state).await?;
        Ok(Self { actor, pending })
    }

    /// Queues a bill for storing. The receiver resolves when the bill is stored, and fails if the
    /// ledger refused it.
    pub fn save(&self, pending: PendingBill) -> oneshot::Receiver<SaveOutcome> {
        let (tx, rx) = oneshot::channel();
        self.pending.send_modify(|count| *count += 1);
        let entry = Entry { pending, reply: tx };
        // If the actor has ended, the receiver fails at once and the caller gets no final event.
        let _ = self.actor.cast(Message::Save(Box::new(entry)));
        rx
    }

    /// Waits until every bill is stored or refused.
    pub async fn idle(&self) {
        let mut pending = self.pending.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _ = pending.wait_for(|count| *count == 0).await;
    }
}

/// A queued bill, with the sender that tells the caller how it was stored.
struct Entry {
    pending: PendingBill,
    reply: oneshot::Sender<SaveOutcome>,
}

enum Message {
    /// Store a bill.
    Save(Box<Entry>),
    /// A batch was stored or refused.
    Finished,
}

struct BillsActor;

struct State {
    queue: VecDeque<Entry>,
    /// Number of batches that are being stored.
    in_flight: usize,
    sender: Sender,
}

impl Actor for BillsActor {
    type Msg = Message;
    type State = State;
    type Arguments = State;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        state: State,
    ) -> Result<State, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Save(entry) => state.queue.push_back(*entry),
            Message::Finished => state.in_flight -= 1,
        }
        if state.in_flight < MAX_BATCHES_IN_FLIGHT && !state.queue.is_empty() {
            let count = state.queue.len().min(MAX_BATCH_BILLS);
            let batch: Vec<Entry> = state.queue.drain(..count).collect();
            let sender = state.sender.clone();
            state.in_flight += 1;
            tokio::spawn(async move {
                sender.deliver(batch).await;
                // The actor ends only with the process.
                let _ = myself.cast(Message::Finished);
            });
        }
        Ok(())
    }
}

/// Sends batches to the quorum or a spool, and settles their reservations.
#[derive(Clone)]
struct Sender {
    control: ControlClient,
    allotment: Allotment,
    metrics: Arc<Metrics>,
    /// Whether the last submission to the quorum failed.
    degraded: Arc<AtomicBool>,
    pending: watch::Sender<usize>,
}

impl Sender {
    /// Sends a batch until it is stored.
    async fn deliver(&self, batch: Vec<Entry>) {
        let bills: Vec<Bill> = batch
            .iter()
            .map(|entry| entry.pending.bill.clone())
            .collect();
        let mut backoff = MIN_BACKOFF;
        loop {
            if let Some(results) = self.try_save(&bills).await {
                self.finish(batch, &results);
                return;
            }
            self.metrics.bills.add("resent");
            tokio::time::sleep(backoff / 2 + jitter(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Tries the quorum once, and then the spool of any replica. Returns nothing if both failed. An
    /// empty result, or an outcome that is none, means that the ledger refused the bills.
    async fn try_save(&self, bills: &[Bill]) -> Option<Vec<Option<SaveOutcome>>> {
        let degraded = self.degraded.load(Ordering::Relaxed);
        let timeout = if degraded {
            DEGRADED_QUORUM_TIMEOUT
        } else {
            QUORUM_TIMEOUT
        };
        let command = Command::Bill(bills.to_vec());
        match self.control.submit(command, timeout).await {
            Ok(Reply::Billed(results)) => {
                self.degraded.store(false, Ordering::Relaxed);
                return Some(results.iter().map(save_outcome).collect());
            }
            Ok(reply) => {
                log::error!("bills refused: {reply:?}");
                return Some(Vec::new());
            }
            Err(_) => self.degraded.store(true, Ordering::Relaxed),
        }
        let spooled = self.control.spool(bills.to_vec(), SPOOL_TIMEOUT).await;
        spooled
            .ok()
            .map(|()| vec![Some(SaveOutcome::Spooled); bills.len()])
    }

    /// Settles the reservations of a batch and answers the callers.
    fn finish(&self, batch: Vec<Entry>, results: &[Option<SaveOutcome>]) {
        let mut results = results.iter().copied();
        for entry in batch {
            self.pending.send_modify(|count| *count -= 1);
            let Some(save_outcome) = results.next().flatten() else {
                // A refused bill keeps its reservation: the tokens were produced.
                self.metrics.bills.add("refused");
                continue;
            };
            self.settle(entry.pending, save_outcome);
            // The caller may have stopped waiting.
            let _ = entry.reply.send(save_outcome);
        }
    }

    /// Ends the reservation. A merged bill settles it like any other: the ledger itself counts the
    /// tokens of the second run as wasted.
    fn settle(&self, pending: PendingBill, save_outcome: SaveOutcome) {
        self.metrics.bills.add(match save_outcome {
            SaveOutcome::Recorded => "recorded",
            SaveOutcome::Spooled => "spooled",
            SaveOutcome::Merged => "merged",
        });
        let produced = pending.bill.prompt + pending.bill.generated;
        self.allotment
            .settle(pending.reservation, produced, Tokens::ZERO);
    }
}

/// Returns how the quorum stored a bill, or none if it refused it because the holder is closed.
fn save_outcome(billed: &Billed) -> Option<SaveOutcome> {
    match billed {
        Billed::Recorded => Some(SaveOutcome::Recorded),
        Billed::Merged => Some(SaveOutcome::Merged),
        Billed::Closed => None,
    }
}
