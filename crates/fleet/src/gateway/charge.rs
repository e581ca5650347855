//! Charging of pass-through requests: reserves the worst case up front and charges what was
//! delivered.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use chestnutnotch_core::id::Budget;
use chestnutnotch_core::ledger::Loan;
use chestnutnotch_core::ledger::Reservation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;

use crate::controllers::allotment::Allotment;
use crate::controllers::nodes::Nodes;
use crate::dialect::Prompt;
use crate::edges::http::NotRun;
use crate::edges::rpc::node::Lender;
use crate::filters::refusal::Refusal as FilterRefusal;
use crate::gateway::loans::Lack;
use crate::gateway::loans::Loans;
use crate::gateway::refusal::Refusal;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Longest wait for tokens from the ledger: a round trip, a quorum commit and a disk sync, with
/// room for the first retries during a change of leader.
const GRANT_TIMEOUT: Millis = Millis(150);

/// A request waits for loans until this part of its time left is over, and no longer than
/// [`MAX_LOAN_WAIT`] after it arrived: the rest is for its answer.
const LOAN_WAIT_DIVISOR: u64 = 3;

/// Longest wait for tokens from other routers, that for the ledger included.
const MAX_LOAN_WAIT: Millis = Millis(600);

/// A request waits for the router to join the ledger for its time left divided by this. Joining
/// takes a second or two, and a late answer is worth more than a refusal.
const JOIN_WAIT_DIVISOR: u64 = 3;

/// Time between checks whether the router has joined.
const JOIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Handle on the router's token allotments, which are empty until the router has joined the ledger.
/// Cheap to clone; clones share the allotments.
#[derive(Clone, Debug)]
pub struct AllotmentHandle {
    allotment: Arc<OnceLock<Allotment>>,
    loans: Loans,
    timer: Timer,
}

impl AllotmentHandle {
    /// Returns a handle whose allotments are not set yet.
    pub fn new(nodes: Nodes, timer: Timer, metrics: Arc<Metrics>) -> Self {
        Self {
            allotment: Arc::default(),
            loans: Loans::new(nodes, timer.clone(), metrics),
            timer,
        }
    }

    /// Sets the allotments. Only the first call has an effect.
    pub fn set(&self, allotment: Allotment) {
        if self.allotment.set(allotment).is_err() {
            log::error!("the token allotments were set more than once");
        }
    }

    /// Returns the allotments, or `None` before the router has joined the ledger.
    pub fn allotment(&self) -> Option<&Allotment> {
        self.allotment.get()
    }

    /// Reserves the maximum cost of a request, borrowing from other routers if the ledger grants
    /// too little. `id` is written to the log; `time_left` is the time left for the answer.
    ///
    /// # Errors
    ///
    /// - [`Refusal::Starting`] if the router has not joined the ledger in time.
    /// - [`Refusal::BudgetSpent`] if the ledger recently reported that the budget can't cover it.
    /// - [`Refusal::AllotmentShort`] if neither the ledger nor other routers gave enough tokens.
    pub async fn reserve(
        &self,
        budget: &Budget,
        prompt: &Prompt,
        id: &str,
        time_left: Millis,
    ) -> Result<Charge, Refusal> {
        let allotment = self.wait_joined(time_left).await.ok_or(Refusal::Starting)?;
        let worst_case = prompt.tokens + prompt.max_output;
        let wait = match allotment.is_report_answered() {
            true => GRANT_TIMEOUT,
            // The ledger did not answer the last report, so other routers are asked at once.
            false => Millis::ZERO,
        };
        let now = self.timer.now();
        let deadline = now + wait;
        let waiting = allotment.begin_wait(budget, worst_case);
        let reservation = match allotment.reserve(budget, worst_case, deadline).await {
            Ok(reservation) => reservation,
            Err(FilterRefusal::BudgetSpent) => return Err(Refusal::BudgetSpent),
            Err(_) => {
                let deadline = now + MAX_LOAN_WAIT.min(Millis(time_left.0 / LOAN_WAIT_DIVISOR));
                let lack = Lack {
                    budget,
                    worst_case,
                    deadline,
                    id,
                };
                self.loans.borrow(allotment, &lack).await?
            }
        };
        waiting.finish();
        Ok(Charge {
            allotments: self.clone(),
            reservation: Some(reservation),
            prompt_tokens: prompt.tokens,
            max_output: prompt.max_output,
            attempts: 0,
            delivered: Tokens::ZERO,
        })
    }

    /// Waits for the router to join the ledger, for a fraction of `time_left`. Returns the
    /// allotments, or `None` if it has not joined by then.
    async fn wait_joined(&self, time_left: Millis) -> Option<&Allotment> {
        let deadline = self.timer.now() + Millis(time_left.0 / JOIN_WAIT_DIVISOR);
        while self.allotment.get().is_none() && self.timer.now() < deadline {
            tokio::time::sleep(JOIN_POLL_PERIOD).await;
        }
        self.allotment.get()
    }
}

impl Lender for AllotmentHandle {
    fn lend(&self, budget: &Budget, least: Tokens, most: Tokens) -> Loan {
        let allotment = self.allotment.get();
        allotment.map_or(Loan::default(), |own| own.transfer_out(budget, least, most))
    }
}

/// Reserved tokens of one request, charged when dropped. If the request was sent, it pays for the
/// prompt once and for the tokens delivered to the caller; otherwise it pays nothing.
#[derive(Debug)]
pub struct Charge {
    allotments: AllotmentHandle,
    /// Present until the charge is made.
    reservation: Option<Reservation>,
    prompt_tokens: Tokens,
    /// Upper bound of the charge for delivered tokens.
    max_output: Tokens,
    /// Number of attempts that may have run.
    attempts: u32,
    delivered: Tokens,
}

impl Charge {
    /// Counts an attempt as sent; from now on it may run.
    pub fn mark_sent(&mut self) {
        self.attempts += 1;
    }

    /// Undoes the last [`Charge::mark_sent`], as that attempt did not run. Earlier attempts stay
    /// counted.
    pub fn mark_not_run(&mut self, _evidence: NotRun) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Adds tokens that were delivered to the caller.
    pub fn add_delivered(&mut self, tokens: Tokens) {
        self.delivered += tokens;
    }

    /// Returns the tokens that would be charged if the request ended now.
    pub fn due(&self) -> Tokens {
        match self.attempts {
            0 => Tokens::ZERO,
            _ => self.prompt_tokens + self.delivered.min(self.max_output),
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let due = self.due();
        if let (Some(reservation), Some(allotment)) =
            (self.reservation.take(), self.allotments.allotment.get())
        {
            allotment.spend_unbilled(reservation, due);
        }
    }
}
