//! Decides which holders are asked for a loan when an allotment is too small.
//!
//! A loan is worth a few calls. Where holders did not answer or had nothing to spare, the calls of
//! the next requests would end in the same way, and there may be hundreds of them a second. Such
//! holders are left out for a while, so the number of calls that gain nothing does not grow with
//! the number of requests.

use std::net::SocketAddr;

use crate::id::Budget;
use crate::map::Map;
use crate::unit::Millis;

/// Settings of a [`Borrower`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BorrowPolicy {
    /// Most holders asked for one request.
    pub max_lenders: usize,
    /// Time for which a holder is not asked again after it did not answer, or for the same budget
    /// after it had nothing to spare.
    pub pause: Millis,
}

/// The holders that gave no loan recently. Times are of the caller's own clock.
#[derive(Clone, Debug)]
pub struct Borrower {
    policy: BorrowPolicy,
    /// Holders that did not answer, and until when they are left out.
    silent: Map<SocketAddr, Millis>,
    /// Holders that had nothing to spare, for each budget, and until when they are left out.
    empty: Map<Budget, Map<SocketAddr, Millis>>,
}

impl Borrower {
    /// Returns a borrower that leaves nobody out yet.
    pub fn new(policy: BorrowPolicy) -> Self {
        Self {
            policy,
            silent: Map::default(),
            empty: Map::default(),
        }
    }

    /// Returns the holders to ask for tokens of a budget: the first of `candidates`, best first,
    /// that are not left out. If there are none, a loan can't be had at present.
    pub fn lenders(
        &mut self,
        now: Millis,
        budget: &Budget,
        candidates: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        self.silent.retain(|_, until| now < *until);
        let empty = self.empty.entry(budget.clone()).or_default();
        empty.retain(|_, until| now < *until);
        let silent = &self.silent;
        let usable = candidates
            .into_iter()
            .filter(|at| !silent.contains_key(at) && !empty.contains_key(at));
        usable.take(self.policy.max_lenders).collect()
    }

    /// Records that a holder did not answer.
    pub fn record_silent(&mut self, now: Millis, lender: SocketAddr) {
        self.silent.insert(lender, now + self.policy.pause);
    }

    /// Records that a holder had nothing to spare of a budget.
    pub fn record_empty(&mut self, now: Millis, lender: SocketAddr, budget: &Budget) {
        let empty = self.empty.entry(budget.clone()).or_default();
        empty.insert(lender, now + self.policy.pause);
    }
}
