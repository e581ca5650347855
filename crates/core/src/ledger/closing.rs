//! The end of a holder: it leaves or is closed, the replicas seal it, and evidence on its
//! unfinished attempts settles the rest.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Draw;
use crate::command::Refusal;
use crate::command::Reply;
use crate::command::Resolve;
use crate::command::Seal;
use crate::id::Budget;
use crate::id::Holder;
use crate::id::ReplicaId;
use crate::ledger::Ledger;
use crate::ledger::account::Account;
use crate::ledger::account::Charge;
use crate::machine::Fault;
use crate::map::Map;
use crate::unit::Tokens;

/// State of a holder, kept until it is closed and none of its tokens are unaccounted for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct HolderState {
    /// Budgets that the holder has a share of.
    pub budgets: BTreeSet<Budget>,
    /// Set once the holder is closed.
    pub closed: Option<Closed>,
}

/// How far the closing of a holder is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Closed {
    /// Whether the holder stopped in order, with a final report.
    pub left: bool,
    /// Replicas that accept no more bills of the holder.
    sealed: BTreeSet<ReplicaId>,
    /// Whether all voting replicas have sealed, so that no bill can arrive any more.
    whole: bool,
}

impl Ledger {
    /// Applies a holder's final report and closes the holder.
    pub(crate) fn leave(&mut self, draw: &Draw) -> Reply {
        if !self.is_open(&draw.holder) {
            return self.reply_to_closed(&draw.holder);
        }
        for row in &draw.rows {
            let Some(account) = self.accounts.get_mut(&row.budget) else {
                continue;
            };
            let Some(share) = account.shares.get(&draw.holder) else {
                continue;
            };
            let lost = share.granted.saturating_sub(row.want);
            let keep = share.rest.saturating_sub(lost);
            account.free(&draw.holder, keep);
            account.report(&draw.holder, draw.seq, row);
        }
        self.close(&draw.holder, true);
        Reply::Done
    }

    /// Returns the reply to a leave of a holder that is closed already.
    fn reply_to_closed(&self, holder: &Holder) -> Reply {
        let state = self.holders.get(holder);
        let closed = state.and_then(|state| state.closed.as_ref());
        if closed.is_some_and(|closed| closed.left) {
            return Reply::Done;
        }
        Reply::Refused(Refusal::Closed(holder.clone()))
    }

    /// Closes a holder, so that it is granted nothing more. `left` tells whether it made its final
    /// report.
    pub(crate) fn close(&mut self, holder: &Holder, left: bool) {
        let state = self.holders.entry(holder.clone()).or_default();
        if state.closed.is_some() {
            return;
        }
        state.closed = Some(Closed {
            left,
            sealed: BTreeSet::new(),
            whole: false,
        });
        for budget in &state.budgets {
            let account = self.accounts.get_mut(budget);
            if let Some(share) = account.and_then(|account| account.shares.get_mut(holder)) {
                share.closed = true;
            }
        }
        if self.fault == Some(Fault::FreeUnsealed) {
            self.settle_sealed(holder);
        }
    }

    /// Records that a replica accepts no more bills of a closed holder. Once all voters have sealed
    /// it, the tokens that can no longer be billed are freed.
    pub(crate) fn seal(&mut self, seal: &Seal) -> Reply {
        let Some(state) = self.holders.get_mut(&seal.holder) else {
            return Reply::Done;
        };
        let Some(closed) = state.closed.as_mut() else {
            return Reply::Refused(Refusal::Open(seal.holder.clone()));
        };
        closed.sealed.insert(seal.replica);
        if closed.whole || !seal.voters.iter().all(|id| closed.sealed.contains(id)) {
            return Reply::Done;
        }
        closed.whole = true;
        self.settle_sealed(&seal.holder);
        Reply::Done
    }

    /// Settles the unspent tokens of a sealed holder except for its exposure. A holder that left
    /// has returned all that it didn't spend, so they count as wasted. Any other holder can't have
    /// spent more than its exposure without a bill, so they are freed.
    fn settle_sealed(&mut self, holder: &Holder) {
        let Some(state) = self.holders.get(holder) else {
            return;
        };
        let left = state.closed.as_ref().is_some_and(|closed| closed.left);
        for budget in &state.budgets {
            let Some(account) = self.accounts.get_mut(budget) else {
                continue;
            };
            let Some(share) = account.shares.get(holder) else {
                continue;
            };
            let keep = match self.fault {
                Some(Fault::FreeExposure) => Tokens::ZERO,
                _ => share.exposure,
            };
            if left {
                let spent = share.rest.saturating_sub(keep);
                account.charge(holder, spent, Charge::Wasted);
            } else {
                account.free(holder, keep);
            }
            debug_assert!(account.is_conserved());
        }
        self.drop_settled(holder);
    }

    /// Drops the shares of a sealed holder that have no unspent tokens, and a router's state with
    /// its last share. The state of a region stays, as a region without state counts as open.
    pub(super) fn drop_settled(&mut self, holder: &Holder) {
        let Some(state) = self.holders.get_mut(holder) else {
            return;
        };
        if !state.closed.as_ref().is_some_and(|closed| closed.whole) {
            return;
        }
        let accounts = &mut self.accounts;
        state.budgets.retain(|budget| {
            let Some(account) = accounts.get_mut(budget) else {
                return false;
            };
            let is_empty = account
                .shares
                .get(holder)
                .is_none_or(|share| share.rest == Tokens::ZERO);
            if is_empty {
                account.shares.remove(holder);
            }
            !is_empty
        });
        let is_router = matches!(holder, Holder::Router(_));
        if state.budgets.is_empty() && is_router {
            self.holders.remove(holder);
        }
    }

    /// Charges the tokens that, according to evidence, a closed holder's unfinished attempts
    /// produced, and frees the rest once the holder is sealed.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoBudget`], [`Refusal::Open`].
    pub(crate) fn resolve(&mut self, resolve: &Resolve) -> Result<(), Refusal> {
        let Some(account) = self.accounts.get_mut(&resolve.budget) else {
            return Err(Refusal::NoBudget(resolve.budget.clone()));
        };
        let Some(state) = self.holders.get(&resolve.holder) else {
            return Ok(());
        };
        let Some(closed) = &state.closed else {
            return Err(Refusal::Open(resolve.holder.clone()));
        };
        let Some(share) = account.shares.get_mut(&resolve.holder) else {
            return Ok(());
        };
        share.exposure = Tokens::ZERO;
        account.charge(&resolve.holder, resolve.produced, Charge::Wasted);
        if closed.whole {
            account.free(&resolve.holder, Tokens::ZERO);
        }
        debug_assert!(account.is_conserved());
        self.drop_settled(&resolve.holder);
        Ok(())
    }

    /// Whether bills of a holder are refused. A router without state was sealed and dropped.
    pub(super) fn is_sealed(&self, holder: &Holder) -> bool {
        if self.fault == Some(Fault::BillSealed) {
            return false;
        }
        let Some(state) = self.holders.get(holder) else {
            return matches!(holder, Holder::Router(_));
        };
        state.closed.as_ref().is_some_and(|closed| closed.whole)
    }

    /// Returns the closed holders that a replica has not sealed yet, in order.
    pub fn unsealed(&self, replica: ReplicaId) -> Vec<Holder> {
        let mut holders: Vec<Holder> = self
            .holders
            .iter()
            .filter(|(_, state)| state.awaits_seal(replica))
            .map(|(holder, _)| holder.clone())
            .collect();
        holders.sort();
        holders
    }

    /// Returns the closed holders, in order, that all these voters have sealed but whose sealing is
    /// not complete, because the group had other voters then. One more seal by any of them
    /// completes it.
    pub fn sealed_by(&self, voters: &[ReplicaId]) -> Vec<Holder> {
        let mut holders: Vec<Holder> = self
            .holders
            .iter()
            .filter(|(_, state)| state.is_sealed_by(voters))
            .map(|(holder, _)| holder.clone())
            .collect();
        holders.sort();
        holders
    }
}

/// Returns the unspent tokens of an account that are free once their lost holders are sealed.
pub(super) fn pending(holders: &Map<Holder, HolderState>, account: &Account) -> Tokens {
    account
        .shares
        .iter()
        .filter(|(holder, share)| {
            let state = holders.get(holder);
            share.closed && state.is_some_and(HolderState::awaits_release)
        })
        .map(|(_, share)| share.rest.saturating_sub(share.exposure))
        .sum()
}

impl HolderState {
    /// Whether seals will free tokens of the holder. One that left has returned what it did not
    /// spend.
    fn awaits_release(&self) -> bool {
        self.closed
            .as_ref()
            .is_some_and(|closed| !closed.whole && !closed.left)
    }

    /// Whether all these voters have sealed the holder but the sealing is not complete.
    fn is_sealed_by(&self, voters: &[ReplicaId]) -> bool {
        self.closed.as_ref().is_some_and(|closed| {
            !closed.whole && voters.iter().all(|id| closed.sealed.contains(id))
        })
    }

    /// Whether the holder is closed and this replica still has to seal it.
    fn awaits_seal(&self, replica: ReplicaId) -> bool {
        self.closed
            .as_ref()
            .is_some_and(|closed| !closed.whole && !closed.sealed.contains(&replica))
    }
}
