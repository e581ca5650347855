//! Tokens of a pass-through request: set aside at its largest, charged by what was delivered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use chestnutnotch_core::id::Budget;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use rand::seq::SliceRandom;

use crate::controllers::allotment::Allotment;
use crate::controllers::nodes::Nodes;
use crate::dialect::Prompt;
use crate::edges::rpc::node;
use crate::edges::rpc::node::Lender;
use crate::filters::refusal::Refusal as FilterRefusal;
use crate::gateway::refusal::Refusal;
use crate::timer::Timer;

/// Longest wait for tokens from the ledger: a round trip, an agreement and a sync, with room for a
/// change of leader's first tries.
const GRANT_TIMEOUT: Millis = Millis(150);

/// Longest wait for another router's tokens: a connection and a round trip within a region.
const LEND_TIMEOUT: Duration = Duration::from_millis(60);

/// Routers that are asked for tokens before a request is refused: together they hold most of what
/// there is, at a few milliseconds each.
const MAX_LENDERS: usize = 6;

/// Less than this is not worth a call.
const MIN_LOAN: Tokens = Tokens(500);

/// Part of a request's time that it waits for the router to join: joining takes a second or two, and
/// an answer that is late is worth more than a refusal.
const JOIN_WAIT_DIVISOR: u64 = 3;

/// Time between two looks at whether the router has joined.
const JOIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// The allotments of this router, once it has joined. Cheap to clone.
#[derive(Clone, Debug)]
pub struct AllotmentHandle {
    allotment: Arc<OnceLock<Allotment>>,
    nodes: Nodes,
    timer: Timer,
}

impl AllotmentHandle {
    /// A wallet without allotments yet.
    pub fn new(nodes: Nodes, timer: Timer) -> Self {
        Self {
            allotment: Arc::default(),
            nodes,
            timer,
        }
    }

    /// Fills the wallet; only the first call counts.
    pub fn set(&self, allotment: Allotment) {
        if self.allotment.set(allotment).is_err() {
            log::error!("the allotments of this router were set twice");
        }
    }

    /// The allotments, once the router has joined.
    pub fn allotment(&self) -> Option<&Allotment> {
        self.allotment.get()
    }

    /// Sets the most that a request can cost aside. `id` is for the log, `left` the time
    /// that its answer may take.
    ///
    /// # Errors
    ///
    /// [`Refusal::Spent`] if the ledger said a moment ago that the budget can't pay,
    /// [`Refusal::Short`].
    pub async fn reserve(
        &self,
        budget: &Budget,
        prompt: &Prompt,
        id: &str,
        time_left: Millis,
    ) -> Result<Charge, Refusal> {
        let allotment = self.wait_joined(time_left).await.ok_or(Refusal::Starting)?;
        let worst_case = prompt.tokens + prompt.max_output;
        let wait = match allotment.is_answered() {
            true => GRANT_TIMEOUT,
            // The ledger can't be reached: other routers are asked at once.
            false => Millis::ZERO,
        };
        let deadline = self.timer.now() + wait;
        let reservation = match allotment.reserve(budget, worst_case, deadline).await {
            Ok(reservation) => reservation,
            Err(FilterRefusal::BudgetSpent) => return Err(Refusal::BudgetSpent),
            Err(_) => self.borrow(allotment, budget, worst_case, id).await?,
        };
        Ok(Charge {
            allotments: self.clone(),
            reservation: Some(reservation),
            prompt_tokens: prompt.tokens,
            max_output: prompt.max_output,
            sent: false,
            delivered: Tokens::ZERO,
        })
    }

    /// The allotments; a request that comes before the router has joined waits for a part of its time.
    async fn wait_joined(&self, time_left: Millis) -> Option<&Allotment> {
        let deadline = self.timer.now() + Millis(time_left.0 / JOIN_WAIT_DIVISOR);
        while self.allotment.get().is_none() && self.timer.now() < deadline {
            tokio::time::sleep(JOIN_POLL_PERIOD).await;
        }
        self.allotment.get()
    }

    /// Asks other routers for what a request lacks, and no more: what is borrowed and not used is lost.
    async fn borrow(
        &self,
        allotment: &Allotment,
        budget: &Budget,
        worst_case: Tokens,
        id: &str,
    ) -> Result<Reservation, Refusal> {
        let (mut empty, mut failed) = (0, 0);
        for router in self.lenders() {
            let lacking = allotment.lacking(budget, worst_case);
            let least = lacking.min(MIN_LOAN);
            match node::lend(router, budget, least, lacking, LEND_TIMEOUT).await {
                Ok(Tokens::ZERO) => {
                    empty += 1;
                    continue;
                }
                Ok(lent) => {
                    log::info!(budget:% = budget, tokens = lent.0, lacking = lacking.0, from:% = router; "tokens borrowed");
                    allotment.receive(budget, lent);
                }
                Err(error) => {
                    log::debug!(error:% = error; "no tokens borrowed");
                    failed += 1;
                    continue;
                }
            }
            if let Ok(reservation) = allotment.reserve(budget, worst_case, Millis::ZERO).await {
                return Ok(reservation);
            }
        }
        let lacking = allotment.lacking(budget, worst_case).0;
        log::info!(
            target: "request",
            id, budget:% = budget, worst = worst_case.0, lacking, empty, failed,
            ledger = allotment.is_answered();
            "no tokens to borrow"
        );
        Err(Refusal::AllotmentShort)
    }

    /// Live routers in random order, those of the own data centre first.
    fn lenders(&self) -> Vec<SocketAddr> {
        let centre = self.nodes.centre();
        let mut live = self.nodes.live();
        live.retain(|fact| fact.role == Role::Router);
        live.shuffle(&mut rand::rng());
        live.sort_by_key(|fact| fact.centre != centre);
        live.truncate(MAX_LENDERS);
        live.into_iter().map(|fact| fact.rpc).collect()
    }
}

impl Lender for AllotmentHandle {
    fn lend(&self, budget: &Budget, least: Tokens, most: Tokens) -> Tokens {
        let allotment = self.allotment.get();
        allotment.map_or(Tokens::ZERO, |own| own.give(budget, least, most))
    }
}

/// Tokens set aside for one request. Charged when dropped: the prompt once if the request was sent,
/// and what was delivered.
#[derive(Debug)]
pub struct Charge {
    allotments: AllotmentHandle,
    reservation: Option<Reservation>,
    prompt_tokens: Tokens,
    max_output: Tokens,
    sent: bool,
    delivered: Tokens,
}

impl Charge {
    /// The request is about to be sent and may run.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// It did not run after all.
    pub fn mark_not_run(&mut self) {
        self.sent = self.delivered > Tokens::ZERO;
    }

    /// Tokens were delivered to the caller.
    pub fn add_delivered(&mut self, tokens: Tokens) {
        self.delivered += tokens;
    }

    /// What is to be charged now.
    pub fn due(&self) -> Tokens {
        match self.sent {
            true => self.prompt_tokens + self.delivered.min(self.max_output),
            false => Tokens::ZERO,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let due = self.due();
        if let (Some(reservation), Some(allotment)) =
            (self.reservation.take(), self.allotments.allotment.get())
        {
            allotment.spend(reservation, due);
        }
    }
}
