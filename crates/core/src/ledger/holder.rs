//! A holder's own allotments and the reservations taken from them.
//!
//! Times are readings of the holder's own monotonic clock. They decide when to report, never what
//! may be spent.

use crate::command::Draw;
use crate::command::DrawRow;
use crate::command::Grant;
use crate::id::Budget;
use crate::id::Holder;
use crate::ledger::allotment::Allotment;
use crate::ledger::borrower::LedgerLink;
use crate::ledger::draw_policy::DrawPolicy;
use crate::ledger::shortage::LoanAnswers;
use crate::ledger::shortage::Shortage;
use crate::machine::Fault;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;

/// Tokens reserved for one attempt. Has to be ended exactly once, by [`HolderLedger::settle`] or
/// [`HolderLedger::release`].
///
/// It can be cloned only because model checks clone the whole ledger together with its
/// reservations.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Reservation {
    budget: Budget,
    amount: Tokens,
    /// Part of the amount that comes out of tokens transferred from other holders.
    transferred: Tokens,
}

impl Reservation {
    /// Returns the number of tokens reserved.
    pub fn amount(&self) -> Tokens {
        self.amount
    }

    /// Returns the budget that the tokens are reserved from.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }
}

/// Tokens lent to another holder.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Loan {
    /// Tokens lent.
    pub amount: Tokens,
    /// Tokens that could be lent beyond them; zero if none or unknown.
    pub spare: Tokens,
}

/// Why a reservation failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReserveError {
    /// The allotment or the exposure is too small. The next [`HolderLedger::draw`] asks for more,
    /// so a retry may succeed. Carries the number of free tokens that are missing, which is zero
    /// if only the exposure is too small.
    #[error("the allotment is too small by {0} tokens")]
    Allotment(Tokens),
    /// The budget as a whole can't pay, according to a recent answer of the ledger.
    #[error("the budget is spent")]
    Spent,
}

/// One holder's side of the ledger: its allotments, by budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderLedger {
    holder: Holder,
    policy: DrawPolicy,
    /// Sequence number of the last report.
    seq: u64,
    allotments: Map<Budget, Allotment>,
    /// Whether the final report was made.
    left: bool,
    fault: Option<Fault>,
}

impl HolderLedger {
    /// Creates an empty ledger with the default policy.
    pub fn new(holder: Holder) -> Self {
        Self::with_policy(holder, DrawPolicy::default())
    }

    /// Creates an empty ledger with a policy.
    pub fn with_policy(holder: Holder, policy: DrawPolicy) -> Self {
        Self {
            holder,
            policy,
            seq: 0,
            allotments: Map::default(),
            left: false,
            fault: None,
        }
    }

    /// Creates an empty ledger with an injected fault, for tests that have to detect it.
    pub fn with_fault(holder: Holder, fault: Fault) -> Self {
        Self {
            fault: Some(fault),
            ..Self::new(holder)
        }
    }

    /// Returns the holder of these allotments.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns the tokens of a budget that are neither spent nor reserved.
    pub fn free(&self, budget: &Budget) -> Tokens {
        self.allotments
            .get(budget)
            .map_or(Tokens::ZERO, Allotment::free)
    }

    /// Returns the tokens of a budget that unfinished attempts reserve.
    pub fn reserved(&self, budget: &Budget) -> Tokens {
        self.allotments
            .get(budget)
            .map_or(Tokens::ZERO, |allotment| allotment.reserved)
    }

    /// Returns how long a refused caller should wait before it retries.
    pub fn retry_after(&self, error: ReserveError) -> Millis {
        match error {
            ReserveError::Allotment(_) => RETRY_ALLOTMENT_MILLIS,
            ReserveError::Spent => RETRY_SPENT_MILLIS,
        }
    }

    /// Makes the next draw ask for a first allotment of a budget, before any request needs it.
    pub fn prefetch(&mut self, budget: &Budget) {
        if !self.left && !self.allotments.contains_key(budget) {
            let allotment = Allotment::prefetched(self.policy.min_ahead);
            self.allotments.insert(budget.clone(), allotment);
        }
    }

    /// Reserves the worst case of an attempt.
    ///
    /// # Errors
    ///
    /// [`ReserveError`] if the allotment or the granted exposure does not cover the worst case.
    /// Unless the budget is spent, the next draw asks for the missing tokens.
    pub fn reserve(
        &mut self,
        now: Millis,
        budget: &Budget,
        worst_case: Tokens,
    ) -> Result<Reservation, ReserveError> {
        if self.left {
            return Err(ReserveError::Allotment(worst_case));
        }
        let allotment = self.allotments.entry(budget.clone()).or_default();
        let transferred = allotment.transferred.min(worst_case);
        let own = worst_case.saturating_sub(transferred);
        if own > Tokens::ZERO {
            allotment.reserve(now, own)?;
        }
        allotment.transferred = allotment.transferred.saturating_sub(transferred);
        Ok(Reservation {
            budget: budget.clone(),
            amount: worst_case,
            transferred,
        })
    }

    /// Ends a reservation whose bill is safe. `used` tokens were billed, and `wasted` tokens were
    /// produced without a bill.
    ///
    /// The bill is safe once a control replica has it on disk. A bill that the ledger merged is
    /// settled as billed too, as the ledger has counted its tokens as wasted.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens, wasted: Tokens) {
        let Some(allotment) = self.allotments.get_mut(&reservation.budget) else {
            return;
        };
        // The sender has already counted the transferred tokens as wasted, so they cover the waste
        // of this attempt first.
        let own = reservation.amount.saturating_sub(reservation.transferred);
        let covered = reservation.transferred.min(wasted);
        allotment.transferred += reservation.transferred.saturating_sub(covered);
        allotment.record_borrowed(covered);
        allotment.settle(own, used, wasted.saturating_sub(covered));
    }

    /// Lends tokens to another holder: at most `most` of what can be lent, at least `least`, or
    /// none. Tokens of the own allotment count as wasted here.
    pub fn transfer_out(&mut self, budget: &Budget, least: Tokens, most: Tokens) -> Loan {
        let allotment = self.allotments.get_mut(budget).filter(|_| !self.left);
        let Some(allotment) = allotment else {
            return Loan::default();
        };
        let lendable = allotment.lendable();
        let lent = lendable.up_to(most);
        if lent.total() < least {
            return Loan::default();
        }
        allotment.lend(&lent);
        Loan {
            amount: lent.total(),
            spare: allotment.lendable().total(),
        }
    }

    /// Counts a request that waits for tokens of a budget, until [`HolderLedger::end_wait`].
    pub fn begin_wait(&mut self, budget: &Budget, worst_case: Tokens) {
        let allotment = self.allotments.entry(budget.clone()).or_default();
        allotment.begin_wait(worst_case);
    }

    /// Ends the wait of a request. The worst case of one that is not `served` counts as demand.
    pub fn end_wait(&mut self, budget: &Budget, worst_case: Tokens, served: bool) {
        if let Some(allotment) = self.allotments.get_mut(budget) {
            allotment.end_wait(worst_case, served);
        }
    }

    /// Returns the tokens to borrow for the requests that wait and a second of demand.
    pub fn loan_target(&self, budget: &Budget) -> Tokens {
        self.allotments
            .get(budget)
            .map_or(Tokens::ZERO, Allotment::loan_target)
    }

    /// Returns what the ledger last said of a budget: the time of its answer, and the unallotted
    /// tokens and those of open holders then.
    pub fn last_status(&self, budget: &Budget) -> Option<(Millis, Tokens, Tokens)> {
        self.allotments.get(budget)?.last_status()
    }

    /// Returns why a request of this size is refused, after the calls for loans that it waited for.
    pub fn shortage(
        &self,
        budget: &Budget,
        worst_case: Tokens,
        link: LedgerLink,
        answers: &LoanAnswers,
    ) -> Shortage {
        match self.allotments.get(budget) {
            Some(allotment) => allotment.shortage(worst_case, link, answers),
            None => Shortage::of_loans(answers),
        }
    }

    /// Returns how many tokens a reservation of this size lacks.
    pub fn shortfall(&self, budget: &Budget, worst_case: Tokens) -> Tokens {
        self.allotments
            .get(budget)
            .map_or(worst_case, |allotment| allotment.shortfall(worst_case))
    }

    /// Adds tokens that another holder transferred.
    pub fn transfer_in(&mut self, budget: &Budget, amount: Tokens) {
        self.allotments
            .entry(budget.clone())
            .or_default()
            .transferred += amount;
    }

    /// Ends a reservation of an attempt that is not billed and provably produced `wasted` tokens.
    pub fn release(&mut self, reservation: Reservation, wasted: Tokens) {
        self.settle(reservation, Tokens::ZERO, wasted);
    }

    /// Returns the report to send to the ledger, if one is due. Cheap: meant to be called a few
    /// times a second and after each [`ReserveError`].
    pub fn draw(&mut self, now: Millis) -> Option<Draw> {
        if self.left {
            return None;
        }
        let policy = self.policy;
        self.allotments
            .values_mut()
            .for_each(|allotment| allotment.update_rate(now, &policy));
        if !self
            .allotments
            .values()
            .any(|allotment| allotment.is_due(now, &policy))
        {
            return None;
        }
        let seq = self.seq + 1;
        let joining = self
            .allotments
            .iter_mut()
            .filter(|(_, allotment)| allotment.is_nearly_due(now, &policy));
        let mut rows: Vec<DrawRow> = joining
            .map(|(budget, allotment)| allotment.report(now, seq, budget, &policy, self.fault))
            .collect();
        rows.sort_by(|a, b| a.budget.cmp(&b.budget));
        self.seq = seq;
        Some(Draw {
            holder: self.holder.clone(),
            seq,
            rows,
        })
    }

    /// Applies the ledger's answer to a report. Late and repeated answers are safe.
    pub fn apply_grants(&mut self, now: Millis, grants: impl IntoIterator<Item = Grant>) {
        if self.left {
            return;
        }
        for grant in grants {
            let allotment = self.allotments.entry(grant.budget.clone()).or_default();
            allotment.apply_grant(now, &grant, self.fault);
        }
        self.allotments
            .retain(|_, allotment| !allotment.is_unused(now));
    }

    /// Returns the final report of a holder that stops. It returns all tokens that are neither
    /// spent nor reserved, and no reservation succeeds after it.
    pub fn leave(&mut self) -> Draw {
        self.left = true;
        self.seq += 1;
        let mut rows: Vec<DrawRow> = self
            .allotments
            .iter_mut()
            .map(|(budget, allotment)| allotment.final_report(budget))
            .collect();
        rows.sort_by(|a, b| a.budget.cmp(&b.budget));
        Draw {
            holder: self.holder.clone(),
            seq: self.seq,
            rows,
        }
    }
}

const RETRY_ALLOTMENT_MILLIS: Millis = Millis(1_000);
const RETRY_SPENT_MILLIS: Millis = Millis(60_000);
