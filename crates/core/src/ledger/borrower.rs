//! Decides which holders are asked for a loan when an allotment is too small.
//!
//! Load: one holder gets more requests of a budget than it has tokens for, while others hold some.
//!
//! A loan is worth a few calls. Where holders did not answer or had nothing to spare, the calls of
//! the next requests would end in the same way, and there may be hundreds of them a second. Such
//! holders are left out for a while, so the number of calls that gain nothing does not grow with
//! the number of requests. While the ledger does not answer, what a holder may lend is not renewed,
//! and it is left out for twice as long each time.
//!
//! Tokens may lie at a few of many holders. After a flight that gained nothing, the next one asks
//! twice as many.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::id::Budget;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;

/// Settings of a [`Borrower`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BorrowPolicy {
    /// Most holders asked at the same time.
    pub max_lenders: usize,
    /// The same after flights that gained nothing.
    pub max_asked: usize,
    /// Time for which a holder is not asked again after it did not answer, or for the same budget
    /// after it had nothing to spare.
    pub pause: Millis,
    /// Longest such time while the ledger does not answer.
    pub max_pause: Millis,
    /// Age up to which a holder's last answer on its spare tokens is relied on.
    pub spare_ttl: Millis,
}

/// The holders that gave no loan recently. Times are of the caller's own clock.
#[derive(Clone, Debug)]
pub struct Borrower {
    policy: BorrowPolicy,
    /// Holders that did not answer, and until when they are left out.
    silent: Map<SocketAddr, Millis>,
    /// Holders that had nothing to spare, for each budget.
    empty: Map<Budget, Map<SocketAddr, Empty>>,
    /// Tokens that holders could still spare, for each budget, and until when this is relied on.
    spare: Map<Budget, Map<SocketAddr, (Tokens, Millis)>>,
    /// Flights in a row that gained nothing, for each budget.
    fruitless: Map<Budget, u32>,
}

/// Whether the ledger answered this holder's last report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerLink {
    /// It did, so that what holders may lend is renewed.
    Answering,
    /// It did not.
    Silent,
}

/// A holder's answers that it had nothing to spare.
#[derive(Clone, Copy, Debug)]
struct Empty {
    /// Time of the last answer.
    at: Millis,
    /// Time for which it is left out if the ledger does not answer.
    span: Millis,
}

impl Empty {
    /// Whether the holder is left out.
    fn is_paused(&self, now: Millis, link: LedgerLink, policy: &BorrowPolicy) -> bool {
        let span = match link {
            LedgerLink::Answering => policy.pause,
            LedgerLink::Silent => self.span,
        };
        now < self.at + span
    }

    /// Whether the answer has been forgotten, so that the next pause is a short one.
    fn is_over(&self, now: Millis) -> bool {
        now >= self.at + self.span + self.span
    }
}

/// A loan to ask for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Holder to ask.
    pub lender: SocketAddr,
    /// Most tokens to ask it for.
    pub most: Tokens,
}

impl Borrower {
    /// Returns a borrower that leaves nobody out yet.
    pub fn new(policy: BorrowPolicy) -> Self {
        Self {
            policy,
            silent: Map::default(),
            empty: Map::default(),
            spare: Map::default(),
            fruitless: Map::default(),
        }
    }

    /// Returns the loans to ask for at the same time, to get `target` tokens of a budget: of those
    /// that can spare most by their last answers, then of the first of `candidates`. Holders that
    /// are left out are not asked; if no request is returned, a loan can't be had at present.
    ///
    /// A holder that could spare some is asked for all that is missing. One of which nothing is
    /// known is asked for an equal part: borrowed tokens that are not used are lost, so that answers
    /// together should not exceed the target.
    pub fn plan(
        &mut self,
        now: Millis,
        budget: &Budget,
        target: Tokens,
        link: LedgerLink,
        candidates: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<LoanRequest> {
        self.silent.retain(|_, until| now < *until);
        let empty = self.empty.entry(budget.clone()).or_default();
        empty.retain(|_, empty| !empty.is_over(now));
        let spare = self.spare.entry(budget.clone()).or_default();
        spare.retain(|_, (_, until)| now < *until);
        let (silent, policy) = (&self.silent, &self.policy);
        let is_paused = |at: &SocketAddr| {
            let empty = empty.get(at);
            empty.is_some_and(|empty| empty.is_paused(now, link, policy))
        };
        let known = |at: &SocketAddr| spare.get(at).map_or(Tokens::ZERO, |(amount, _)| *amount);
        let mut usable: Vec<SocketAddr> = candidates
            .into_iter()
            .filter(|at| !silent.contains_key(at) && !is_paused(at))
            .collect();
        usable.sort_by_key(|at| Reverse(known(at)));
        let width = policy.width(self.fruitless.get(budget).copied().unwrap_or(0));
        let part = Tokens(target.0.div_ceil(width.max(1) as u64));
        let mut missing = target;
        let mut requests = Vec::new();
        for lender in usable.into_iter().take(width) {
            if missing == Tokens::ZERO {
                break;
            }
            let most = match known(&lender) {
                Tokens::ZERO => part,
                _ => missing,
            };
            missing = missing.saturating_sub(known(&lender));
            requests.push(LoanRequest { lender, most });
        }
        requests
    }

    /// Records that a holder did not answer.
    pub fn record_silent(&mut self, now: Millis, lender: SocketAddr) {
        self.silent.insert(lender, now + self.policy.pause);
    }

    /// Records that a holder had nothing to spare of a budget. It is left out for twice as long as
    /// the last time, up to [`BorrowPolicy::max_pause`], while the ledger does not answer.
    pub fn record_empty(&mut self, now: Millis, lender: SocketAddr, budget: &Budget) {
        let empty = self.empty.entry(budget.clone()).or_default();
        let last = empty.get(&lender).filter(|last| !last.is_over(now));
        let span = last.map_or(self.policy.pause, |last| {
            (last.span + last.span).min(self.policy.max_pause)
        });
        empty.insert(lender, Empty { at: now, span });
        if let Some(spare) = self.spare.get_mut(budget) {
            spare.remove(&lender);
        }
    }

    /// Records how many tokens of a budget a holder could spare after a loan.
    pub fn record_spare(
        &mut self,
        now: Millis,
        lender: SocketAddr,
        budget: &Budget,
        spare: Tokens,
    ) {
        if let Some(empty) = self.empty.get_mut(budget) {
            empty.remove(&lender);
        }
        let known = self.spare.entry(budget.clone()).or_default();
        known.insert(lender, (spare, now + self.policy.spare_ttl));
    }

    /// Records the end of a flight, and whether any holder lent tokens in it.
    pub fn record_flight(&mut self, budget: &Budget, gained: bool) {
        let fruitless = self.fruitless.entry(budget.clone()).or_default();
        *fruitless = match gained {
            true => 0,
            false => fruitless.saturating_add(1),
        };
    }
}

impl BorrowPolicy {
    /// Returns how many holders a flight asks after so many that gained nothing.
    fn width(&self, fruitless: u32) -> usize {
        let factor = 1_usize.checked_shl(fruitless).unwrap_or(usize::MAX);
        let width = self.max_lenders.saturating_mul(factor);
        width.min(self.max_asked.max(self.max_lenders))
    }
}
