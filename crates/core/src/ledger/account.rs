//! One budget: where each of its tokens is.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::command::DrawRow;
use crate::command::Grant;
use crate::id::Budget;
use crate::id::Holder;
use crate::ledger::policy;
use crate::unit::Tokens;

/// A budget and the shares of its holders.
///
/// `prepaid = unallotted + rests of all shares + billed + wasted` after each change.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(super) struct Account {
    pub prepaid: Tokens,
    pub unallotted: Tokens,
    pub billed: Tokens,
    pub wasted: Tokens,
    pub bills: u64,
    /// Tokens reported beyond what the budget could pay: zero unless a holder broke its bound.
    pub over: Tokens,
    pub shares: BTreeMap<Holder, Share>,
}

/// What one holder has of a budget.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(super) struct Share {
    /// Latest report taken in.
    pub seq: u64,
    /// Granted so far.
    pub granted: Tokens,
    /// Returned so far, as reported.
    pub returned: Tokens,
    /// Produced without a bill so far, as reported.
    pub wasted: Tokens,
    /// Granted, and neither returned, billed nor wasted.
    pub rest: Tokens,
    /// Bound on what unfinished requests reserve.
    pub exposure: Tokens,
    /// Reported spending, in tokens per second.
    pub rate: Tokens,
    /// Part of the reported need that was not granted.
    pub unmet: Tokens,
    /// Whether the holder is closed.
    pub closed: bool,
}

/// What a charge is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Charge {
    /// A request's bill.
    Billed,
    /// Tokens produced without a bill.
    Wasted,
}

impl Account {
    /// Adds a deposit.
    pub fn deposit(&mut self, amount: Tokens) {
        self.prepaid += amount;
        self.unallotted += amount;
    }

    /// Takes tokens back, as far as nobody holds them.
    pub fn withdraw(&mut self, amount: Tokens) {
        let taken = amount.min(self.unallotted);
        self.prepaid = self.prepaid.saturating_sub(taken);
        self.unallotted = self.unallotted.saturating_sub(taken);
    }

    /// Whether all tokens are accounted for.
    pub fn is_conserved(&self) -> bool {
        let rests: Tokens = self.shares.values().map(|share| share.rest).sum();
        self.prepaid == self.unallotted + rests + self.billed + self.wasted
    }

    /// Unspent tokens of open holders.
    pub fn spread(&self) -> Tokens {
        self.rests(false)
    }

    /// Unspent tokens of closed holders.
    pub fn unknown(&self) -> Tokens {
        self.rests(true)
    }

    fn rests(&self, closed: bool) -> Tokens {
        self.shares
            .values()
            .filter(|share| share.closed == closed)
            .map(|share| share.rest)
            .sum()
    }

    /// Needs of open holders, other than `holder`, that could not be granted.
    pub fn unmet(&self, holder: &Holder) -> Tokens {
        self.shares
            .iter()
            .filter(|(other, share)| *other != holder && !share.closed)
            .map(|(_, share)| share.unmet)
            .sum()
    }

    /// Takes tokens from a holder's rest. What exceeds it comes out of the unallotted tokens.
    pub fn charge(&mut self, holder: &Holder, amount: Tokens, charge: Charge) {
        let mut left = amount;
        if let Some(share) = self.shares.get_mut(holder) {
            let paid = share.rest.min(left);
            share.rest = share.rest.saturating_sub(paid);
            left = left.saturating_sub(paid);
        }
        let paid = self.unallotted.min(left);
        self.unallotted = self.unallotted.saturating_sub(paid);
        left = left.saturating_sub(paid);
        self.over += left;
        let counted = amount.saturating_sub(left);
        match charge {
            Charge::Billed => self.billed += counted,
            Charge::Wasted => self.wasted += counted,
        }
    }

    /// Takes in a holder's report unless a later one is known.
    pub fn report(&mut self, holder: &Holder, seq: u64, row: &DrawRow) {
        self.hand_back(holder, row.returned);
        self.waste(holder, row.wasted);
        let share = self.shares.entry(holder.clone()).or_default();
        share.seq = share.seq.max(seq);
        share.exposure = row.exposure;
        share.rate = row.rate;
    }

    fn hand_back(&mut self, holder: &Holder, returned: Tokens) {
        let share = self.shares.entry(holder.clone()).or_default();
        let more = returned.saturating_sub(share.returned).min(share.rest);
        share.returned = share.returned.max(returned);
        share.rest = share.rest.saturating_sub(more);
        self.unallotted += more;
    }

    fn waste(&mut self, holder: &Holder, wasted: Tokens) {
        let share = self.shares.entry(holder.clone()).or_default();
        let more = wasted.saturating_sub(share.wasted);
        share.wasted = share.wasted.max(wasted);
        self.charge(holder, more, Charge::Wasted);
    }

    /// Grants what the policy allows of what a report asks for.
    pub fn allot(&mut self, holder: &Holder, row: &DrawRow) {
        let granted = self.share(holder).granted;
        let more = policy::allot(self, holder, granted, row);
        let share = self.shares.entry(holder.clone()).or_default();
        share.granted += more;
        share.rest += more;
        share.unmet = row.need.saturating_sub(share.granted);
        self.unallotted = self.unallotted.saturating_sub(more);
    }

    /// A holder's standing.
    pub fn standing(&self, budget: &Budget, holder: &Holder) -> Grant {
        let share = self.share(holder);
        Grant {
            budget: budget.clone(),
            seq: share.seq,
            granted: share.granted,
            exposure: share.exposure,
            recall: policy::recall(self, holder),
            unallotted: self.unallotted,
            spread: self.spread(),
        }
    }

    /// Frees part of a closed holder's rest: all but `keep`.
    pub fn free(&mut self, holder: &Holder, keep: Tokens) {
        let Some(share) = self.shares.get_mut(holder) else {
            return;
        };
        let free = share.rest.saturating_sub(keep);
        share.rest = share.rest.saturating_sub(free);
        self.unallotted += free;
    }

    fn share(&self, holder: &Holder) -> Share {
        self.shares.get(holder).cloned().unwrap_or_default()
    }
}
