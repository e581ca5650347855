//! Runs this router's side of the ledger: reserves tokens for requests, reports to the replicated
//! ledger and applies its grants.
//!
//! Requests reserve tokens under a briefly held mutex around the [`HolderLedger`], without a
//! message to the actor: every chat makes a reservation, and one mailbox would serialize them all.
//! The actor does only the exchange with the replicated ledger.

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
use chestnutnotch_core::ledger::LedgerLink;
use chestnutnotch_core::ledger::Loan;
use chestnutnotch_core::ledger::LoanAnswers;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::ledger::ReserveError;
use chestnutnotch_core::ledger::Shortage;
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

/// Timeout of a report to the ledger, and longest wait for one before the next try.
const DRAW_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the final report.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait of a request for grants, also if its deadline is later.
const MAX_WAIT: Millis = Millis(3_000);
/// Backoff between two tries to reserve; doubles after each try, up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(4);
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// A handle on this router's allotments. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Allotment {
    ledger: Arc<Mutex<HolderLedger>>,
    actor: ActorRef<Message>,
    /// Changes after every report.
    outcomes: watch::Receiver<ReportOutcome>,
    /// Whether a report was requested that the actor has not begun.
    report_pending: Arc<AtomicBool>,
    timer: Timer,
    metrics: Arc<Metrics>,
}

/// Outcome of the last report to the ledger.
#[derive(Clone, Copy, Debug, Default)]
struct ReportOutcome {
    /// Whether the ledger answered and this holder is open, or no report was due.
    answered: bool,
}

/// Parameters of [`Allotment::start`].
pub struct Parts {
    /// This router's side of the ledger.
    pub ledger: HolderLedger,
    /// Client of the control replicas.
    pub control: ControlClient,
    /// Time between two reports.
    pub period: Duration,
    /// Clock and source of ticks.
    pub timer: Timer,
    /// Counts reports, reservations and tokens.
    pub metrics: Arc<Metrics>,
    /// Set to [`Stage::Closed`] when the ledger has closed the holder.
    pub lifecycle: Lifecycle,
}

impl Allotment {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// If the actor does not start.
    pub async fn start(parts: Parts) -> Result<Self, SpawnErr> {
        let (tx, outcomes) = watch::channel(ReportOutcome::default());
        let ledger = Arc::new(Mutex::new(parts.ledger));
        let report_pending = Arc::new(AtomicBool::new(false));
        let timer = parts.timer;
        let state = State {
            ledger: Arc::clone(&ledger),
            control: parts.control,
            report_pending: Arc::clone(&report_pending),
            outcomes: tx,
            timer: timer.clone(),
            metrics: Arc::clone(&parts.metrics),
            lifecycle: parts.lifecycle,
        };
        let (actor, _) = Actor::spawn(None, AllotmentActor, state).await?;
        ticks::forward(&timer, parts.period, actor.clone(), || Message::Report);
        Ok(Self {
            ledger,
            actor,
            outcomes,
            report_pending,
            timer,
            metrics: parts.metrics,
        })
    }

    /// Reserves the worst case of an attempt. If the allotment is too small, waits for grants until
    /// `deadline` by the timer's clock, but for three seconds at most.
    ///
    /// # Errors
    ///
    /// - [`Refusal::BudgetSpent`] if the budget as a whole can't pay,
    /// - [`Refusal::AllotmentShort`] if the ledger answered but granted too little in time,
    /// - [`Refusal::NoQuorum`] if the ledger did not answer the last report.
    pub async fn reserve(
        &self,
        budget: &Budget,
        worst_case: Tokens,
        deadline: Millis,
    ) -> Result<Reservation, Refusal> {
        let mut outcomes = self.outcomes.clone();
        let mut backoff = MIN_BACKOFF;
        let mut waited = false;
        let deadline = deadline.min(self.timer.now() + MAX_WAIT);
        loop {
            outcomes.mark_unchanged();
            let now = self.timer.now();
            match self.ledger().reserve(now, budget, worst_case) {
                Ok(reservation) => {
                    let label = if waited { "after_wait" } else { "at_once" };
                    self.metrics.reservations.add(label);
                    return Ok(reservation);
                }
                Err(ReserveError::Spent) => {
                    self.metrics.reservations.add("spent");
                    return Err(Refusal::BudgetSpent);
                }
                Err(ReserveError::Allotment(_)) => {}
            }
            let left = Duration::from_millis(deadline.saturating_sub(now).0);
            if left.is_zero() {
                break;
            }
            self.request_report();
            // Without an answer in time, the next iteration tries again.
            let _ = tokio::time::timeout(left.min(DRAW_TIMEOUT), outcomes.changed()).await;
            if waited {
                tokio::time::sleep(jitter(backoff.min(left))).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
            waited = true;
        }
        self.metrics.reservations.add("short");
        if outcomes.borrow().answered {
            return Err(Refusal::AllotmentShort);
        }
        Err(Refusal::NoQuorum(Execution::NotRun))
    }

    /// See [`HolderLedger::prefetch`].
    pub fn prefetch(&self, budgets: impl IntoIterator<Item = Budget>) {
        let mut ledger = self.ledger();
        for budget in budgets {
            ledger.prefetch(&budget);
        }
    }

    /// See [`HolderLedger::settle`].
    pub fn settle(&self, reservation: Reservation, used: Tokens, wasted: Tokens) {
        self.metrics.tokens.add_many("billed", used.0);
        self.metrics.tokens.add_many("wasted", wasted.0);
        self.ledger().settle(reservation, used, wasted);
    }

    /// Ends a reservation of a request that has no bill of its own: the tokens are charged as part
    /// of the sum in the next report.
    pub fn spend_unbilled(&self, reservation: Reservation, spent: Tokens) {
        self.metrics.tokens.add_many("spent", spent.0);
        self.ledger().release(reservation, spent);
    }

    /// See [`HolderLedger::transfer_out`].
    pub fn transfer_out(&self, budget: &Budget, least: Tokens, most: Tokens) -> Loan {
        let loan = self.ledger().transfer_out(budget, least, most);
        self.metrics.tokens.add_many("lent", loan.amount.0);
        loan
    }

    /// Reserves the worst case of an attempt without a wait for grants.
    pub fn try_reserve(&self, budget: &Budget, worst_case: Tokens) -> Option<Reservation> {
        let now = self.timer.now();
        self.ledger().reserve(now, budget, worst_case).ok()
    }

    /// Counts a request that may have to wait for tokens, until the guard is dropped.
    pub fn begin_wait(&self, budget: &Budget, worst_case: Tokens) -> WaitGuard {
        self.ledger().begin_wait(budget, worst_case);
        WaitGuard {
            allotment: self.clone(),
            budget: budget.clone(),
            worst_case,
            served: false,
        }
    }

    /// See [`HolderLedger::loan_target`].
    pub fn loan_target(&self, budget: &Budget) -> Tokens {
        self.ledger().loan_target(budget)
    }

    /// Returns what the ledger last said of a budget: the age of its answer, and the unallotted
    /// tokens and those of open holders then.
    pub fn last_status(&self, budget: &Budget) -> Option<(Millis, Tokens, Tokens)> {
        let (at, unallotted, unspent) = self.ledger().last_status(budget)?;
        Some((self.timer.now().saturating_sub(at), unallotted, unspent))
    }

    /// See [`HolderLedger::shortfall`].
    pub fn shortfall(&self, budget: &Budget, worst_case: Tokens) -> Tokens {
        self.ledger().shortfall(budget, worst_case)
    }

    /// See [`HolderLedger::transfer_in`].
    pub fn transfer_in(&self, budget: &Budget, amount: Tokens) {
        self.metrics.tokens.add_many("borrowed", amount.0);
        self.ledger().transfer_in(budget, amount);
    }

    /// See [`HolderLedger::shortage`]. Counts the cause.
    pub fn shortage(&self, budget: &Budget, worst_case: Tokens, answers: &LoanAnswers) -> Shortage {
        let link = self.ledger_link();
        let shortage = self.ledger().shortage(budget, worst_case, link, answers);
        self.metrics.shortages.add(shortage.name());
        shortage
    }

    /// Returns whether the ledger answered the last report, as [`Allotment::is_report_answered`].
    pub fn ledger_link(&self) -> LedgerLink {
        match self.is_report_answered() {
            true => LedgerLink::Answering,
            false => LedgerLink::Silent,
        }
    }

    /// Returns whether the ledger answered the last report. False after it closed the holder.
    pub fn is_report_answered(&self) -> bool {
        self.outcomes.borrow().answered
    }

    /// See [`HolderLedger::release`].
    pub fn release(&self, reservation: Reservation, wasted: Tokens) {
        self.metrics.tokens.add_many("wasted", wasted.0);
        self.ledger().release(reservation, wasted);
    }

    /// Gives all free tokens back to the ledger. Returns whether it accepted the final report.
    pub async fn leave(&self) -> bool {
        ractor::call_t!(
            self.actor,
            Message::Leave,
            LEAVE_TIMEOUT.as_millis() as u64 + 500
        )
        .unwrap_or(false)
    }

    /// Makes the actor report now. Several calls before the report begins make one report.
    fn request_report(&self) {
        if !self.report_pending.swap(true, Ordering::AcqRel) {
            // If the actor has stopped, so does the router; the caller's wait is bounded.
            let _ = self.actor.cast(Message::Report);
        }
    }

    fn ledger(&self) -> MutexGuard<'_, HolderLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that may have to wait for tokens. Unless it is served, its worst case counts as demand
/// that was not covered.
#[derive(Debug)]
pub struct WaitGuard {
    allotment: Allotment,
    budget: Budget,
    worst_case: Tokens,
    served: bool,
}

impl WaitGuard {
    /// Ends the wait of a request that has its tokens.
    pub fn finish(mut self) {
        self.served = true;
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut ledger = self.allotment.ledger();
        ledger.end_wait(&self.budget, self.worst_case, self.served);
        if !self.served {
            let uncovered = &self.allotment.metrics.tokens;
            uncovered.add_many("uncovered", self.worst_case.0);
        }
    }
}

enum Message {
    /// Send a report if one is due.
    Report,
    /// Send the final report, and reply whether the ledger accepted it.
    Leave(RpcReplyPort<bool>),
}

struct AllotmentActor;

struct State {
    ledger: Arc<Mutex<HolderLedger>>,
    control: ControlClient,
    report_pending: Arc<AtomicBool>,
    outcomes: watch::Sender<ReportOutcome>,
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
                // The caller may have stopped waiting.
                let _ = reply.send(done);
            }
        }
        Ok(())
    }
}

impl State {
    fn ledger(&self) -> MutexGuard<'_, HolderLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a report if one is due, and applies the grants.
    async fn report(&mut self) {
        self.report_pending.store(false, Ordering::Release);
        let due = self.ledger().draw(self.timer.now());
        let Some(draw) = due else {
            self.outcomes.send_replace(ReportOutcome { answered: true });
            return;
        };
        let reply = self.control.submit(Command::Draw(draw), DRAW_TIMEOUT).await;
        let answered = match reply {
            Ok(Reply::Grants(grants)) => {
                self.ledger().apply_grants(self.timer.now(), grants);
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
        self.outcomes.send_replace(ReportOutcome { answered });
    }

    /// Sends the final report. Returns whether the ledger accepted it.
    async fn leave(&mut self) -> bool {
        let last = self.ledger().leave();
        let reply = self
            .control
            .submit(Command::Leave(last), LEAVE_TIMEOUT)
            .await;
        let done = matches!(reply, Ok(Reply::Done));
        self.metrics
            .draws
            .add(if done { "left" } else { "no_quorum" });
        done
    }
}
