//! The end of a holder: leaving, closing, seals, evidence.

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
use crate::ledger::account::Charge;
use crate::machine::Fault;
use crate::unit::Tokens;

/// A holder, until nothing of it is left.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Standing {
    pub budgets: BTreeSet<Budget>,
    pub closed: Option<Closed>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Closed {
    /// Whether it gave its last report.
    pub left: bool,
    /// Replicas that take no more bills of it.
    sealed: BTreeSet<ReplicaId>,
    /// Whether all replicas have sealed.
    whole: bool,
}

impl Ledger {
    /// Takes in a holder's last report and closes it.
    pub(crate) fn leave(&mut self, draw: &Draw) -> Reply {
        if !self.is_open(&draw.holder) {
            return self.left(&draw.holder);
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

    fn left(&self, holder: &Holder) -> Reply {
        let standing = self.holders.get(holder);
        let closed = standing.and_then(|standing| standing.closed.as_ref());
        if closed.is_some_and(|closed| closed.left) {
            return Reply::Done;
        }
        Reply::Refused(Refusal::Closed(holder.clone()))
    }

    /// Closes a holder: it draws nothing any more. `left` if it gave its last report.
    pub(crate) fn close(&mut self, holder: &Holder, left: bool) {
        let standing = self.holders.entry(holder.clone()).or_default();
        if standing.closed.is_some() {
            return;
        }
        standing.closed = Some(Closed {
            left,
            sealed: BTreeSet::new(),
            whole: false,
        });
        for budget in &standing.budgets {
            let account = self.accounts.get_mut(budget);
            if let Some(share) = account.and_then(|account| account.shares.get_mut(holder)) {
                share.closed = true;
            }
        }
        if self.fault == Some(Fault::FreeUnsealed) {
            self.release(holder);
        }
    }

    /// Notes that a replica takes no more bills of a closed holder. Once all voters have, what can
    /// no longer be billed is free.
    pub(crate) fn seal(&mut self, seal: &Seal) -> Reply {
        let Some(standing) = self.holders.get_mut(&seal.holder) else {
            return Reply::Done;
        };
        let Some(closed) = standing.closed.as_mut() else {
            return Reply::Refused(Refusal::Open(seal.holder.clone()));
        };
        closed.sealed.insert(seal.replica);
        if closed.whole || !seal.voters.iter().all(|id| closed.sealed.contains(id)) {
            return Reply::Done;
        }
        closed.whole = true;
        self.release(&seal.holder);
        Reply::Done
    }

    /// Frees what a sealed holder can't have spent. What a holder that left didn't return was
    /// produced, except for its exposure.
    fn release(&mut self, holder: &Holder) {
        let Some(standing) = self.holders.get(holder) else {
            return;
        };
        let left = standing.closed.as_ref().is_some_and(|closed| closed.left);
        for budget in &standing.budgets {
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
        self.forget(holder);
    }

    /// Drops what is left of a sealed holder where nothing is unknown any more.
    pub(super) fn forget(&mut self, holder: &Holder) {
        let Some(standing) = self.holders.get_mut(holder) else {
            return;
        };
        if !standing.closed.as_ref().is_some_and(|closed| closed.whole) {
            return;
        }
        let accounts = &mut self.accounts;
        standing.budgets.retain(|budget| {
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
        if standing.budgets.is_empty() && is_router {
            self.holders.remove(holder);
        }
    }

    /// Takes in evidence of what a closed holder's unfinished attempts produced.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoBudget`], [`Refusal::Open`].
    pub(crate) fn resolve(&mut self, resolve: &Resolve) -> Result<(), Refusal> {
        let Some(account) = self.accounts.get_mut(&resolve.budget) else {
            return Err(Refusal::NoBudget(resolve.budget.clone()));
        };
        let Some(standing) = self.holders.get(&resolve.holder) else {
            return Ok(());
        };
        let Some(closed) = &standing.closed else {
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
        self.forget(&resolve.holder);
        Ok(())
    }

    /// Whether no bill of a holder is taken any more.
    pub(super) fn is_sealed(&self, holder: &Holder) -> bool {
        if self.fault == Some(Fault::BillSealed) {
            return false;
        }
        let Some(standing) = self.holders.get(holder) else {
            return matches!(holder, Holder::Router(_));
        };
        standing.closed.as_ref().is_some_and(|closed| closed.whole)
    }

    /// Closed holders that a replica has not sealed yet, in order.
    pub fn unsealed(&self, replica: ReplicaId) -> Vec<Holder> {
        let mut holders: Vec<Holder> = self
            .holders
            .iter()
            .filter(|(_, standing)| standing.waits(replica))
            .map(|(holder, _)| holder.clone())
            .collect();
        holders.sort();
        holders
    }

    /// Closed holders that wait for no seal of these voters, in order: the group was another one
    /// when they were sealed. One more seal, of any of them, ends each.
    pub fn sealed_by(&self, voters: &[ReplicaId]) -> Vec<Holder> {
        let mut holders: Vec<Holder> = self
            .holders
            .iter()
            .filter(|(_, standing)| standing.is_sealed_by(voters))
            .map(|(holder, _)| holder.clone())
            .collect();
        holders.sort();
        holders
    }
}

impl Standing {
    fn is_sealed_by(&self, voters: &[ReplicaId]) -> bool {
        self.closed.as_ref().is_some_and(|closed| {
            !closed.whole && voters.iter().all(|id| closed.sealed.contains(id))
        })
    }

    fn waits(&self, replica: ReplicaId) -> bool {
        self.closed
            .as_ref()
            .is_some_and(|closed| !closed.whole && !closed.sealed.contains(&replica))
    }
}
