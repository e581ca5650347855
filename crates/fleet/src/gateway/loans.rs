//! Loans of tokens from other routers, for requests that this router's allotment does not cover.
//!
//! All requests of a budget share one flight: a round of calls to several routers at the same time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::id::Budget;
use chestnutnotch_core::ledger::BorrowPolicy;
use chestnutnotch_core::ledger::Borrower;
use chestnutnotch_core::ledger::LoanAnswers;
use chestnutnotch_core::ledger::LoanRequest;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use rand::seq::SliceRandom;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::controllers::allotment::Allotment;
use crate::controllers::nodes::Nodes;
use crate::edges::rpc::node::LenderPool;
use crate::gateway::refusal::Refusal;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Time after which a router that has not answered is left out by the next flights: a round trip
/// between data centres, over a link with a queue.
const FLIGHT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for the answer of a router. The flight does not wait for so long, but tokens of an
/// answer that is not read would be lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Whom a flight asks for tokens. Eight routers together hold most of what can be lent, unless the
/// ledger does not answer. Balances and links change within about a second.
const POLICY: BorrowPolicy = BorrowPolicy {
    max_lenders: 8,
    max_asked: 32,
    pause: Millis(1_000),
    max_pause: Millis(4_000),
    spare_ttl: Millis(3_000),
};

/// Smallest loan to ask a router for, unless less is lacking. A smaller one is not worth a call.
const MIN_LOAN: Tokens = Tokens(500);

/// A request that lacks tokens.
#[derive(Debug)]
pub struct Lack<'a> {
    /// Budget that pays for it.
    pub budget: &'a Budget,
    /// Tokens to reserve.
    pub worst_case: Tokens,
    /// End of its wait for loans, by the timer's clock.
    pub deadline: Millis,
    /// Written to the log.
    pub id: &'a str,
}

/// Borrows tokens from other routers. Cheap to clone; clones share the state.
///
/// Briefly held mutexes guard the state instead of an actor, as each request that lacks tokens
/// reads it.
#[derive(Clone, Debug)]
pub struct Loans {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    borrower: Mutex<Borrower>,
    /// Flights in progress.
    flights: Mutex<Map<Budget, watch::Receiver<Flight>>>,
    lenders: LenderPool,
    nodes: Nodes,
    timer: Timer,
    metrics: Arc<Metrics>,
}

/// Progress of a flight: how many routers were asked, and their answers so far.
#[derive(Clone, Copy, Debug, Default)]
struct Flight {
    asked: usize,
    lent: usize,
    empty: usize,
    failed: usize,
    tokens: u64,
    ended: bool,
}

impl Loans {
    /// Creates a borrower that finds the other routers in `nodes`.
    pub fn new(nodes: Nodes, timer: Timer, metrics: Arc<Metrics>) -> Self {
        Self {
            shared: Arc::new(Shared {
                borrower: Mutex::new(Borrower::new(POLICY)),
                flights: Mutex::default(),
                lenders: LenderPool::default(),
                nodes,
                timer,
                metrics,
            }),
        }
    }

    /// Borrows the tokens that a request lacks from other routers, together with the other requests
    /// that wait, and reserves its worst case.
    ///
    /// # Errors
    ///
    /// [`Refusal::AllotmentShort`] if too few tokens were lent in time, at once if no router is left
    /// that is likely to lend any.
    pub async fn borrow(
        &self,
        allotment: &Allotment,
        lack: &Lack<'_>,
    ) -> Result<Reservation, Refusal> {
        let mut last = Flight::default();
        while self.shared.timer.now() < lack.deadline {
            let Some(mut flight) = self.join_flight(allotment, lack.budget) else {
                break;
            };
            loop {
                last = *flight.borrow_and_update();
                let reservation = allotment.try_reserve(lack.budget, lack.worst_case);
                if let Some(reservation) = reservation {
                    return Ok(reservation);
                }
                let left = lack.deadline.saturating_sub(self.shared.timer.now());
                if last.ended || left == Millis::ZERO {
                    break;
                }
                // Without an answer in time, the next iteration ends the wait.
                let _ = tokio::time::timeout(Duration::from_millis(left.0), flight.changed()).await;
            }
        }
        log_refusal(allotment, lack, &last);
        Err(Refusal::AllotmentShort)
    }

    /// Joins the flight of a budget, or starts one. Returns none if there is no router to ask.
    fn join_flight(
        &self,
        allotment: &Allotment,
        budget: &Budget,
    ) -> Option<watch::Receiver<Flight>> {
        let mut flights = lock(&self.shared.flights);
        if let Some(flight) = flights.get(budget) {
            return Some(flight.clone());
        }
        let requests = self.shared.plan(allotment, budget);
        if requests.is_empty() {
            return None;
        }
        let (progress, flight) = watch::channel(Flight {
            asked: requests.len(),
            ..Flight::default()
        });
        flights.insert(budget.clone(), flight.clone());
        let shared = Arc::clone(&self.shared);
        let (allotment, budget) = (allotment.clone(), budget.clone());
        tokio::spawn(async move { shared.fly(allotment, budget, requests, progress).await });
        Some(flight)
    }
}

impl Shared {
    /// Returns the loans to ask for, of routers in random order with those of this data centre
    /// first.
    fn plan(&self, allotment: &Allotment, budget: &Budget) -> Vec<LoanRequest> {
        let centre = self.nodes.centre();
        let mut live = self.nodes.live();
        live.retain(|fact| fact.role == Role::Router);
        live.shuffle(&mut rand::rng());
        live.sort_by_key(|fact| fact.centre != centre);
        let candidates = live.into_iter().map(|fact| fact.rpc);
        let target = allotment.loan_target(budget);
        let now = self.timer.now();
        let link = allotment.ledger_link();
        lock(&self.borrower).plan(now, budget, target, link, candidates)
    }

    /// Makes the calls of a flight and ends it once all have answered or the time is up.
    async fn fly(
        self: Arc<Self>,
        allotment: Allotment,
        budget: Budget,
        requests: Vec<LoanRequest>,
        progress: watch::Sender<Flight>,
    ) {
        let mut calls = JoinSet::new();
        let mut silent: Vec<SocketAddr> = requests.iter().map(|request| request.lender).collect();
        for request in requests {
            let shared = Arc::clone(&self);
            let (allotment, budget) = (allotment.clone(), budget.clone());
            calls.spawn(async move {
                let answer = shared.call(&allotment, &budget, &request).await;
                (request.lender, answer)
            });
        }
        let end = tokio::time::Instant::now() + FLIGHT_TIMEOUT;
        while let Ok(Some(answered)) = tokio::time::timeout_at(end, calls.join_next()).await {
            let Ok((lender, answer)) = answered else {
                continue;
            };
            silent.retain(|other| *other != lender);
            progress.send_modify(|flight| flight.record(answer));
        }
        // Late answers are still taken in.
        calls.detach_all();
        for lender in &silent {
            self.metrics.loans.add("late");
            lock(&self.borrower).record_silent(self.timer.now(), *lender);
        }
        let gained = progress.borrow().lent > 0;
        lock(&self.borrower).record_flight(&budget, gained);
        lock(&self.flights).remove(&budget);
        progress.send_modify(|flight| {
            flight.failed += silent.len();
            flight.ended = true;
        });
    }

    /// Asks one router and takes in what it lends. Returns how much, or `None` if it failed.
    async fn call(
        &self,
        allotment: &Allotment,
        budget: &Budget,
        request: &LoanRequest,
    ) -> Option<Tokens> {
        let LoanRequest { lender, most } = *request;
        let min = most.min(MIN_LOAN);
        let answer = self
            .lenders
            .borrow(lender, budget, min, most, CALL_TIMEOUT)
            .await;
        let now = self.timer.now();
        match answer {
            Ok(loan) if loan.amount == Tokens::ZERO => {
                self.metrics.loans.add("empty");
                lock(&self.borrower).record_empty(now, lender, budget);
                Some(Tokens::ZERO)
            }
            Ok(loan) => {
                allotment.transfer_in(budget, loan.amount);
                self.metrics.loans.add(match loan.amount < most {
                    true => "lent_part",
                    false => "lent",
                });
                log::info!(
                    budget:% = budget, tokens = loan.amount.0, asked = most.0, spare = loan.spare.0,
                    from:% = lender;
                    "tokens borrowed"
                );
                lock(&self.borrower).record_spare(now, lender, budget, loan.spare);
                Some(loan.amount)
            }
            Err(error) => {
                self.metrics.loans.add("failed");
                log::debug!(error:% = error; "no tokens borrowed");
                lock(&self.borrower).record_silent(now, lender);
                None
            }
        }
    }
}

impl Flight {
    /// Counts the answer of one router.
    fn record(&mut self, answer: Option<Tokens>) {
        match answer {
            None => self.failed += 1,
            Some(Tokens::ZERO) => self.empty += 1,
            Some(tokens) => {
                self.lent += 1;
                self.tokens += tokens.0;
            }
        }
    }
}

/// Logs what the ledger last said and who was asked.
fn log_refusal(allotment: &Allotment, lack: &Lack<'_>, flight: &Flight) {
    let lacking = allotment.shortfall(lack.budget, lack.worst_case).0;
    let answers = LoanAnswers {
        asked: flight.asked,
        lent: flight.lent,
        empty: flight.empty,
    };
    let reason = allotment.shortage(lack.budget, lack.worst_case, &answers);
    let status = allotment.last_status(lack.budget).unwrap_or_default();
    let (age, unallotted, unspent) = status;
    log::info!(
        target: "request",
        id = lack.id, reason = reason.name(), budget:% = lack.budget, worst = lack.worst_case.0, lacking,
        asked = flight.asked, lent = flight.lent, tokens = flight.tokens, empty = flight.empty,
        failed = flight.failed, ledger = allotment.is_report_answered(),
        ledger_age_ms = age.0, unallotted = unallotted.0, unspent = unspent.0;
        "no tokens to borrow"
    );
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
