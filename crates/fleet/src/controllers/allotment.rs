//! Drives the purse of this router: reports to the ledger, takes in grants.
//!
//! Requests reserve under a short lock around the pure purse, without a message to the actor: the
//! reservation is on the path of every chat, and one mailbox would put them all in a row. Only the
//! exchange with the ledger is the actor's.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Refusal as Refused;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::ledger::HolderLedger;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::ledger::ReserveError;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use ractor::RpcReplyPort;
use ractor::SpawnErr;
use tokio::sync::watch;

use crate::controllers::lifecycle::Lifecycle;
use crate::controllers::lifecycle::Stage;
use crate::controllers::ticks;
use crate::edges::rpc::ControlClient;
use crate::filters::refusal::Execution;
use crate::filters::refusal::Refusal;
use crate::metrics::Metrics;
use crate::timer::Timer;
use crate::timer::jitter;

const DRAW_WITHIN: Duration = Duration::from_millis(500);
const LEAVE_WITHIN: Duration = Duration::from_secs(3);
const WAIT: Millis = Millis(3_000);
const FIRST_PAUSE: Duration = Duration::from_millis(4);
const MOST_PAUSE: Duration = Duration::from_millis(200);

/// A handle on the purse of this router. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Allotment {
    purse: Arc<Mutex<HolderLedger>>,
    actor: ActorRef<Message>,
    rounds: watch::Receiver<Round>,
    hurried: Arc<AtomicBool>,
    timer: Timer,
    metrics: Arc<Metrics>,
}

/// What the last exchange with the ledger gave.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    answered: bool,
}

/// What the actor is built from.
pub struct Parts {
    /// The purse.
    pub purse: HolderLedger,
    /// The control replicas.
    pub control: ControlClient,
    /// Time between two reports.
    pub period: Duration,
    /// Source of time.
    pub timer: Timer,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Told when the ledger has closed the holder.
    pub lifecycle: Lifecycle,
}

impl Allotment {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// If the actor does not start.
    pub async fn start(parts: Parts) -> Result<Self, SpawnErr> {
        let (tx, rounds) = watch::channel(Round::default());
        let purse = Arc::new(Mutex::new(parts.purse));
        let hurried = Arc::new(AtomicBool::new(false));
        let timer = parts.timer;
        let state = State {
            purse: Arc::clone(&purse),
            control: parts.control,
            hurried: Arc::clone(&hurried),
            rounds: tx,
            timer: timer.clone(),
            metrics: Arc::clone(&parts.metrics),
            lifecycle: parts.lifecycle,
        };
        let (actor, _) = Actor::spawn(None, AllotmentActor, state).await?;
        ticks::forward(&timer, parts.period, actor.clone(), || Message::Report);
        Ok(Self {
            purse,
            actor,
            rounds,
            hurried,
            timer,
            metrics: parts.metrics,
        })
    }

    /// Sets the worst case of an attempt aside, waiting for grants if need be until `until` by the
    /// timer's clock.
    ///
    /// # Errors
    ///
    /// [`Refusal::BudgetSpent`], [`Refusal::AllotmentShort`] or [`Refusal::NoQuorum`].
    pub async fn reserve(
        &self,
        budget: &Budget,
        worst: Tokens,
        until: Millis,
    ) -> Result<Reservation, Refusal> {
        let mut rounds = self.rounds.clone();
        let mut pause = FIRST_PAUSE;
        let mut waited = false;
        let until = until.min(self.timer.now() + WAIT);
        loop {
            rounds.mark_unchanged();
            let now = self.timer.now();
            match self.purse().reserve(now, budget, worst) {
                Ok(held) => {
                    let word = if waited { "after_wait" } else { "at_once" };
                    self.metrics.reservations.add(word);
                    return Ok(held);
                }
                Err(ReserveError::Spent) => {
                    self.metrics.reservations.add("spent");
                    return Err(Refusal::BudgetSpent);
                }
                Err(ReserveError::Allotment(_)) => {}
            }
            let left = Duration::from_millis(until.saturating_sub(now).0);
            if left.is_zero() {
                break;
            }
            self.hurry();
            // Without an answer in time, the next round tries again.
            let _ = tokio::time::timeout(left.min(DRAW_WITHIN), rounds.changed()).await;
            if waited {
                tokio::time::sleep(jitter(pause.min(left))).await;
                pause = (pause * 2).min(MOST_PAUSE);
            }
            waited = true;
        }
        self.metrics.reservations.add("short");
        if rounds.borrow().answered {
            return Err(Refusal::AllotmentShort);
        }
        Err(Refusal::NoQuorum(Execution::NotRun))
    }

    /// See [`HolderLedger::prefetch`].
    pub fn expect(&self, budgets: impl IntoIterator<Item = Budget>) {
        let mut purse = self.purse();
        for budget in budgets {
            purse.prefetch(&budget);
        }
    }

    /// See [`HolderLedger::settle`].
    pub fn settle(&self, held: Reservation, used: Tokens, wasted: Tokens) {
        self.metrics.tokens.add_many("billed", used.0);
        self.metrics.tokens.add_many("wasted", wasted.0);
        self.purse().settle(held, used, wasted);
    }

    /// Ends a reservation of a request that is charged with others in sum, not by a bill.
    pub fn spend(&self, held: Reservation, spent: Tokens) {
        self.metrics.tokens.add_many("spent", spent.0);
        self.purse().release(held, spent);
    }

    /// See [`HolderLedger::transfer_out`].
    pub fn give(&self, budget: &Budget, least: Tokens, most: Tokens) -> Tokens {
        self.purse().transfer_out(budget, least, most)
    }

    /// See [`HolderLedger::shortfall`].
    pub fn lacking(&self, budget: &Budget, worst: Tokens) -> Tokens {
        self.purse().shortfall(budget, worst)
    }

    /// See [`HolderLedger::transfer_in`].
    pub fn receive(&self, budget: &Budget, amount: Tokens) {
        self.purse().transfer_in(budget, amount);
    }

    /// Whether the ledger answered the last report.
    pub fn is_answered(&self) -> bool {
        self.rounds.borrow().answered
    }

    /// See [`HolderLedger::release`].
    pub fn release(&self, held: Reservation, wasted: Tokens) {
        self.metrics.tokens.add_many("wasted", wasted.0);
        self.purse().release(held, wasted);
    }

    /// Returns all that is not spent. Whether the ledger took it in.
    pub async fn leave(&self) -> bool {
        ractor::call_t!(
            self.actor,
            Message::Leave,
            LEAVE_WITHIN.as_millis() as u64 + 500
        )
        .unwrap_or(false)
    }

    /// Has the actor report now; several calls make one report.
    fn hurry(&self) {
        if !self.hurried.swap(true, Ordering::AcqRel) {
            // A stopped actor means that the router stops; the caller's wait is bounded.
            let _ = self.actor.cast(Message::Report);
        }
    }

    fn purse(&self) -> MutexGuard<'_, HolderLedger> {
        self.purse.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Message {
    Report,
    Leave(RpcReplyPort<bool>),
}

struct AllotmentActor;

struct State {
    purse: Arc<Mutex<HolderLedger>>,
    control: ControlClient,
    hurried: Arc<AtomicBool>,
    rounds: watch::Sender<Round>,
    timer: Timer,
    metrics: Arc<Metrics>,
    lifecycle: Lifecycle,
}

impl Actor for AllotmentActor {
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
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Report => state.report().await,
            Message::Leave(reply) => {
                let done = state.leave().await;
                // The asker may have stopped waiting.
                let _ = reply.send(done);
            }
        }
        Ok(())
    }
}

impl State {
    fn purse(&self) -> MutexGuard<'_, HolderLedger> {
        self.purse.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn report(&mut self) {
        self.hurried.store(false, Ordering::Release);
        let due = self.purse().draw(self.timer.now());
        let Some(draw) = due else {
            self.rounds.send_replace(Round { answered: true });
            return;
        };
        let reply = self.control.submit(Command::Draw(draw), DRAW_WITHIN).await;
        let answered = match reply {
            Ok(Reply::Grants(grants)) => {
                self.purse().apply_grants(self.timer.now(), grants);
                self.metrics.draws.add("granted");
                true
            }
            Ok(Reply::Refused(Refused::Closed(holder))) => {
                log::error!("{holder} is closed; this router stops serving");
                self.lifecycle.advance(Stage::Closed);
                self.metrics.draws.add("closed");
                false
            }
            Ok(_) => {
                self.metrics.draws.add("refused");
                true
            }
            Err(_) => {
                self.metrics.draws.add("no_quorum");
                false
            }
        };
        self.rounds.send_replace(Round { answered });
    }

    async fn leave(&mut self) -> bool {
        let last = self.purse().leave();
        let reply = self
            .control
            .submit(Command::Leave(last), LEAVE_WITHIN)
            .await;
        let done = matches!(reply, Ok(Reply::Done));
        self.metrics
            .draws
            .add(if done { "left" } else { "no_quorum" });
        done
    }
}
