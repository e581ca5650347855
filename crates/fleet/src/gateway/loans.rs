//! Loans of tokens from other routers, for requests that this router's allotment does not cover.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::id::Budget;
use chestnutnotch_core::ledger::BorrowPolicy;
use chestnutnotch_core::ledger::Borrower;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use rand::seq::SliceRandom;
use tokio::sync::Semaphore;

use crate::controllers::allotment::Allotment;
use crate::controllers::nodes::Nodes;
use crate::edges::rpc::node;
use crate::gateway::refusal::Refusal;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Longest wait for a loan from another router: a connection and a round trip within a region.
const LEND_TIMEOUT: Duration = Duration::from_millis(60);

/// Whom a request asks for tokens. Six routers together hold most of what can be lent, and each
/// call takes a few milliseconds. Balances and links change within about a second.
const POLICY: BorrowPolicy = BorrowPolicy {
    max_lenders: 6,
    pause: Millis(1_000),
};

/// Requests that may ask for loans at the same time. At a few milliseconds a call, they serve some
/// hundred requests a second; more would only wait for the processor.
const MAX_BORROWERS: usize = 8;

/// Smallest loan to ask a router for, unless the request lacks less. A smaller one is not worth a
/// call.
const MIN_LOAN: Tokens = Tokens(500);

/// Borrows tokens from other routers.
///
/// A briefly held mutex guards the state instead of an actor, as each request that lacks tokens
/// reads it.
#[derive(Debug)]
pub struct Loans {
    borrower: Mutex<Borrower>,
    permits: Semaphore,
    nodes: Nodes,
    timer: Timer,
    metrics: Arc<Metrics>,
}

impl Loans {
    /// Creates a borrower that finds the other routers in `nodes`.
    pub fn new(nodes: Nodes, timer: Timer, metrics: Arc<Metrics>) -> Self {
        Self {
            borrower: Mutex::new(Borrower::new(POLICY)),
            permits: Semaphore::new(MAX_BORROWERS),
            nodes,
            timer,
            metrics,
        }
    }

    /// Borrows the tokens that a request lacks from other routers and reserves its worst case. It
    /// asks for no more, since borrowed tokens that are not used are lost. `id` is written to the
    /// log.
    ///
    /// # Errors
    ///
    /// [`Refusal::AllotmentShort`] if too few tokens were lent. It comes at once if no router is
    /// likely to lend any, or too many requests are asking already.
    pub async fn borrow(
        &self,
        allotment: &Allotment,
        budget: &Budget,
        worst_case: Tokens,
        id: &str,
    ) -> Result<Reservation, Refusal> {
        let permit = self.permits.try_acquire();
        let lenders = match permit {
            Ok(_) => self.lenders(budget),
            Err(_) => Vec::new(),
        };
        let (mut empty, mut failed) = (0, 0);
        for router in lenders {
            let lacking = allotment.shortfall(budget, worst_case);
            let least = lacking.min(MIN_LOAN);
            match node::lend(router, budget, least, lacking, LEND_TIMEOUT).await {
                Ok(Tokens::ZERO) => {
                    self.metrics.loans.add("empty");
                    let now = self.timer.now();
                    self.borrower().record_empty(now, router, budget);
                    empty += 1;
                    continue;
                }
                Ok(lent) => {
                    self.metrics.loans.add("lent");
                    log::info!(budget:% = budget, tokens = lent.0, lacking = lacking.0, from:% = router; "tokens borrowed");
                    allotment.transfer_in(budget, lent);
                }
                Err(error) => {
                    self.metrics.loans.add("failed");
                    log::debug!(error:% = error; "no tokens borrowed");
                    self.borrower().record_silent(self.timer.now(), router);
                    failed += 1;
                    continue;
                }
            }
            if let Ok(reservation) = allotment.reserve(budget, worst_case, Millis::ZERO).await {
                return Ok(reservation);
            }
        }
        let lacking = allotment.shortfall(budget, worst_case).0;
        log::info!(
            target: "request",
            id, budget:% = budget, worst = worst_case.0, lacking, empty, failed,
            busy = permit.is_err(), ledger = allotment.is_report_answered();
            "no tokens to borrow"
        );
        Err(Refusal::AllotmentShort)
    }

    /// Returns the RPC addresses of routers to borrow from, in random order with those of this data
    /// centre first.
    fn lenders(&self, budget: &Budget) -> Vec<SocketAddr> {
        let centre = self.nodes.centre();
        let mut live = self.nodes.live();
        live.retain(|fact| fact.role == Role::Router);
        live.shuffle(&mut rand::rng());
        live.sort_by_key(|fact| fact.centre != centre);
        let candidates = live.into_iter().map(|fact| fact.rpc);
        let now = self.timer.now();
        self.borrower().lenders(now, budget, candidates)
    }

    fn borrower(&self) -> MutexGuard<'_, Borrower> {
        self.borrower.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
