//! The account of one budget: how many of its tokens are where.

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
/// Invariant: `prepaid = unallotted + sum of all shares' rest + billed + wasted`.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(super) struct Account {
    /// All deposits, less what was withdrawn.
    pub prepaid: Tokens,
    /// Granted to no holder.
    pub unallotted: Tokens,
    /// Charged by bills.
    pub billed: Tokens,
    /// Produced without a bill.
    pub wasted: Tokens,
    /// Number of requests billed.
    pub bills: u64,
    /// Tokens charged beyond what the budget could pay: zero unless a holder exceeded its grant.
    pub over: Tokens,
    /// Allotments by holder.
    pub shares: BTreeMap<Holder, Share>,
}

/// One holder's allotment of a budget.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(super) struct Share {
    /// Sequence number of the latest report applied.
    pub seq: u64,
    /// Tokens granted so far.
    pub granted: Tokens,
    /// Tokens returned so far, as reported.
    pub returned: Tokens,
    /// Tokens produced without a bill so far, as reported.
    pub wasted: Tokens,
    /// Unspent tokens: granted, and neither returned, billed nor wasted.
    pub rest: Tokens,
    /// Bound on the tokens that unfinished requests reserve.
    pub exposure: Tokens,
    /// Reported rate of spending, in tokens per second.
    pub rate: Tokens,
    /// Part of the reported need that was not granted.
    pub unmet: Tokens,
    /// Whether the holder has left, was retired or was replaced.
    pub closed: bool,
}

/// Which total a charge counts towards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Charge {
    /// The bill of a request.
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

    /// Withdraws tokens, at most those that no holder has.
    pub fn withdraw(&mut self, amount: Tokens) {
        let taken = amount.min(self.unallotted);
        self.prepaid = self.prepaid.saturating_sub(taken);
        self.unallotted = self.unallotted.saturating_sub(taken);
    }

    /// Whether the invariant of the account holds.
    pub fn is_conserved(&self) -> bool {
        let unspent: Tokens = self.shares.values().map(|share| share.rest).sum();
        self.prepaid == self.unallotted + unspent + self.billed + self.wasted
    }

    /// Returns the unspent tokens of open holders.
    pub fn unspent_open(&self) -> Tokens {
        self.unspent(false)
    }

    /// Returns the unspent tokens of closed holders.
    pub fn unspent_closed(&self) -> Tokens {
        self.unspent(true)
    }

    fn unspent(&self, closed: bool) -> Tokens {
        self.shares
            .values()
            .filter(|share| share.closed == closed)
            .map(|share| share.rest)
            .sum()
    }

    /// Returns the needs of open holders other than `holder` that could not be granted.
    pub fn unmet(&self, holder: &Holder) -> Tokens {
        self.shares
            .iter()
            .filter(|(other, share)| *other != holder && !share.closed)
            .map(|(_, share)| share.unmet)
            .sum()
    }

    /// Charges tokens to a holder's unspent tokens. What exceeds these comes out of the unallotted
    /// tokens, and what exceeds both counts as `over`.
    pub fn charge(&mut self, holder: &Holder, amount: Tokens, charge: Charge) {
        let mut uncovered = amount;
        if let Some(share) = self.shares.get_mut(holder) {
            let paid = share.rest.min(uncovered);
            share.rest = share.rest.saturating_sub(paid);
            uncovered = uncovered.saturating_sub(paid);
        }
        let paid = self.unallotted.min(uncovered);
        self.unallotted = self.unallotted.saturating_sub(paid);
        uncovered = uncovered.saturating_sub(paid);
        self.over += uncovered;
        let counted = amount.saturating_sub(uncovered);
        match charge {
            Charge::Billed => self.billed += counted,
            Charge::Wasted => self.wasted += counted,
        }
    }

    /// Applies a holder's report. Its counts are cumulative, so a repeated report changes nothing.
    pub fn report(&mut self, holder: &Holder, seq: u64, row: &DrawRow) {
        self.take_returned(holder, row.returned);
        self.take_wasted(holder, row.wasted);
        let share = self.shares.entry(holder.clone()).or_default();
        share.seq = share.seq.max(seq);
        share.exposure = row.exposure;
        share.rate = row.rate;
    }

    fn take_returned(&mut self, holder: &Holder, returned: Tokens) {
        let share = self.shares.entry(holder.clone()).or_default();
        let added = returned.saturating_sub(share.returned).min(share.rest);
        share.returned = share.returned.max(returned);
        share.rest = share.rest.saturating_sub(added);
        self.unallotted += added;
    }

    fn take_wasted(&mut self, holder: &Holder, wasted: Tokens) {
        let share = self.shares.entry(holder.clone()).or_default();
        let added = wasted.saturating_sub(share.wasted);
        share.wasted = share.wasted.max(wasted);
        self.charge(holder, added, Charge::Wasted);
    }

    /// Grants as much of what a report asks for as the policy allows.
    pub fn allot(&mut self, holder: &Holder, row: &DrawRow) {
        let granted = self.share(holder).granted;
        let added = policy::allot(self, holder, granted, row);
        let share = self.shares.entry(holder.clone()).or_default();
        share.granted += added;
        share.rest += added;
        share.unmet = row.need.saturating_sub(share.granted);
        self.unallotted = self.unallotted.saturating_sub(added);
    }

    /// Returns the answer to a holder's report. `pending` are the tokens that seals will free.
    pub fn grant_for(&self, budget: &Budget, holder: &Holder, pending: Tokens) -> Grant {
        let share = self.share(holder);
        Grant {
            budget: budget.clone(),
            seq: share.seq,
            granted: share.granted,
            exposure: share.exposure,
            recall: policy::recall(self, holder),
            unallotted: self.unallotted,
            spread: self.unspent_open(),
            pending,
        }
    }

    /// Frees a holder's unspent tokens except for `keep`.
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
