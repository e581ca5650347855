//! Makes bills safe, in batches, and settles their reservations then.
//!
//! A bill goes to the quorum; if none answers shortly, to the disk of any one replica; if none is
//! reachable, it is kept and sent again until it is safe. Until then its reservation stays.

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

const QUORUM_WITHIN: Duration = Duration::from_millis(300);
const PROBE_WITHIN: Duration = Duration::from_millis(60);
const SPOOL_WITHIN: Duration = Duration::from_millis(500);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSE: Duration = Duration::from_secs(2);
const BATCH_BILLS: usize = 256;
const BATCHES: usize = 4;

/// A bill with the reservation that it settles.
#[derive(Debug)]
pub struct Due {
    /// The bill.
    pub bill: Bill,
    /// Reservation of the answered attempt.
    pub held: Reservation,
}

/// How a bill was made safe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Saved {
    /// By the quorum, as the first of its request.
    Recorded,
    /// By the quorum; the request had a bill already.
    Merged,
    /// On the disk of one replica.
    Spooled,
}

/// A handle on the bills of this router. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Bills {
    actor: ActorRef<Message>,
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
            flying: 0,
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

    /// Hands a bill over. The receiver is told when it is safe; it fails if the ledger refused it.
    pub fn save(&self, due: Due) -> oneshot::Receiver<Saved> {
        let (tx, rx) = oneshot::channel();
        self.pending.send_modify(|count| *count += 1);
        let entry = Entry { due, told: tx };
        // After the actor has ended the receiver fails at once, and no final event is sent.
        let _ = self.actor.cast(Message::Save(Box::new(entry)));
        rx
    }

    /// Waits until every bill is safe.
    pub async fn idle(&self) {
        let mut pending = self.pending.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _ = pending.wait_for(|count| *count == 0).await;
    }
}

struct Entry {
    due: Due,
    told: oneshot::Sender<Saved>,
}

enum Message {
    Save(Box<Entry>),
    Finished,
}

struct BillsActor;

struct State {
    queue: VecDeque<Entry>,
    flying: usize,
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
            Message::Finished => state.flying -= 1,
        }
        if state.flying < BATCHES && !state.queue.is_empty() {
            let most = state.queue.len().min(BATCH_BILLS);
            let batch: Vec<Entry> = state.queue.drain(..most).collect();
            let sender = state.sender.clone();
            state.flying += 1;
            tokio::spawn(async move {
                sender.deliver(batch).await;
                // The actor ends only with the process.
                let _ = myself.cast(Message::Finished);
            });
        }
        Ok(())
    }
}

#[derive(Clone)]
struct Sender {
    control: ControlClient,
    allotment: Allotment,
    metrics: Arc<Metrics>,
    degraded: Arc<AtomicBool>,
    pending: watch::Sender<usize>,
}

impl Sender {
    async fn deliver(&self, batch: Vec<Entry>) {
        let bills: Vec<Bill> = batch.iter().map(|entry| entry.due.bill.clone()).collect();
        let mut pause = FIRST_PAUSE;
        loop {
            if let Some(results) = self.attempt(&bills).await {
                self.finish(batch, &results);
                return;
            }
            self.metrics.bills.add("resent");
            tokio::time::sleep(pause / 2 + jitter(pause)).await;
            pause = (pause * 2).min(MOST_PAUSE);
        }
    }

    /// One try at the quorum and then at any replica's disk. An empty result is a refusal.
    async fn attempt(&self, bills: &[Bill]) -> Option<Vec<Option<Saved>>> {
        let degraded = self.degraded.load(Ordering::Relaxed);
        let within = if degraded {
            PROBE_WITHIN
        } else {
            QUORUM_WITHIN
        };
        let command = Command::Bill(bills.to_vec());
        match self.control.submit(command, within).await {
            Ok(Reply::Billed(results)) => {
                self.degraded.store(false, Ordering::Relaxed);
                return Some(results.iter().map(saved).collect());
            }
            Ok(reply) => {
                log::error!("bills refused: {reply:?}");
                return Some(Vec::new());
            }
            Err(_) => self.degraded.store(true, Ordering::Relaxed),
        }
        let spooled = self.control.spool(bills.to_vec(), SPOOL_WITHIN).await;
        spooled
            .ok()
            .map(|()| vec![Some(Saved::Spooled); bills.len()])
    }

    fn finish(&self, batch: Vec<Entry>, results: &[Option<Saved>]) {
        let mut results = results.iter().copied();
        for entry in batch {
            self.pending.send_modify(|count| *count -= 1);
            let Some(saved) = results.next().flatten() else {
                // A refused bill keeps its reservation: the tokens were produced.
                self.metrics.bills.add("refused");
                continue;
            };
            self.settle(entry.due, saved);
            // The asker may have stopped waiting.
            let _ = entry.told.send(saved);
        }
    }

    /// Ends the reservation. A merged bill settles it like any other: the ledger itself counts the
    /// tokens of the second run as wasted.
    fn settle(&self, due: Due, saved: Saved) {
        self.metrics.bills.add(match saved {
            Saved::Recorded => "recorded",
            Saved::Spooled => "spooled",
            Saved::Merged => "merged",
        });
        let produced = due.bill.prompt + due.bill.generated;
        self.allotment.settle(due.held, produced, Tokens::ZERO);
    }
}

fn saved(billed: &Billed) -> Option<Saved> {
    match billed {
        Billed::Recorded => Some(Saved::Recorded),
        Billed::Merged => Some(Saved::Merged),
        Billed::Closed => None,
    }
}
