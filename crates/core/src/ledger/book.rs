//! The replicated ledger of all budgets.

use serde::Deserialize;
use serde::Serialize;

use crate::command::Bill;
use crate::command::Billed;
use crate::command::Draw;
use crate::command::Refusal;
use crate::command::Reply;
use crate::id::Budget;
use crate::id::Holder;
use crate::id::RequestId;
use crate::ledger::account::Account;
use crate::ledger::account::Charge;
use crate::ledger::bills::Bills;
use crate::ledger::bills::Insertion;
use crate::ledger::closing::HolderState;
use crate::ledger::closing::pending;
use crate::machine::Fault;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;

/// The accounts of all budgets, their holders, and the bills of recent requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    pub(super) accounts: Map<Budget, Account>,
    pub(super) holders: Map<Holder, HolderState>,
    bills: Bills,
    /// Number of bills on budgets that are not configured; these charge nothing.
    stray: u64,
    #[serde(skip)]
    pub(super) fault: Option<Fault>,
}

/// The tokens of one budget, by where they are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Balance {
    /// The budget.
    pub budget: Budget,
    /// All deposits, less what was withdrawn.
    pub prepaid: Tokens,
    /// Granted to no holder.
    pub unallotted: Tokens,
    /// Unspent tokens of open holders, reserved or not.
    pub allotted: Tokens,
    /// Charged by bills.
    pub billed: Tokens,
    /// Produced without a bill.
    pub wasted: Tokens,
    /// Unspent tokens of closed holders, until seals and evidence tell how many were produced.
    pub unknown: Tokens,
    /// Charged beyond what the budget could pay: zero unless a holder exceeded its grant.
    pub over: Tokens,
    /// Number of requests billed.
    pub bills: u64,
}

impl Ledger {
    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Creates a budget with its first deposit. Does nothing if the budget exists.
    pub(crate) fn create(&mut self, budget: &Budget, prepaid: Tokens) {
        if self.accounts.contains_key(budget) {
            return;
        }
        let mut account = Account::default();
        account.deposit(prepaid);
        self.accounts.insert(budget.clone(), account);
    }

    /// Sets the prepaid total of a budget: creates it, deposits what is missing, or withdraws
    /// tokens that no holder has. The total does not fall below what is spent or allotted.
    pub(crate) fn set_prepaid(&mut self, budget: &Budget, total: Tokens) {
        let account = self.accounts.entry(budget.clone()).or_default();
        let lacking = total.saturating_sub(account.prepaid);
        let surplus = account.prepaid.saturating_sub(total);
        account.deposit(lacking);
        account.withdraw(surplus);
    }

    /// Returns the prepaid total of a budget: all deposits, less what was withdrawn.
    pub fn prepaid(&self, budget: &Budget) -> Option<Tokens> {
        self.accounts.get(budget).map(|account| account.prepaid)
    }

    /// Whether a budget has neither prepaid tokens nor bills, so that it may be removed.
    pub fn is_unused(&self, budget: &Budget) -> bool {
        self.accounts
            .get(budget)
            .is_none_or(|account| account.prepaid == Tokens::ZERO && account.bills == 0)
    }

    /// Removes a budget if it is unused.
    pub(crate) fn remove(&mut self, budget: &Budget) {
        if self.is_unused(budget) {
            self.accounts.remove(budget);
        }
    }

    /// Adds a deposit and returns the new total.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoBudget`], [`Refusal::Range`].
    pub(crate) fn top_up(&mut self, budget: &Budget, amount: Tokens) -> Result<Tokens, Refusal> {
        let Some(account) = self.accounts.get_mut(budget) else {
            return Err(Refusal::NoBudget(budget.clone()));
        };
        if account.prepaid.0.checked_add(amount.0).is_none() {
            return Err(Refusal::Range);
        }
        account.deposit(amount);
        Ok(account.prepaid)
    }

    /// Opens a holder, so that it may draw.
    pub(crate) fn open(&mut self, holder: Holder) {
        self.holders.entry(holder).or_default();
    }

    /// Whether a holder may draw: a router from its join, a region from the start, each until it is
    /// closed.
    pub fn is_open(&self, holder: &Holder) -> bool {
        match (self.holders.get(holder), holder) {
            (Some(state), _) => state.closed.is_none(),
            (None, Holder::Region(_)) => true,
            (None, Holder::Router(_)) => false,
        }
    }

    /// Applies a report, unless a later one was applied, and returns the holder's grants.
    pub(crate) fn draw(&mut self, draw: &Draw) -> Reply {
        if !self.is_open(&draw.holder) {
            return Reply::Refused(Refusal::Closed(draw.holder.clone()));
        }
        let mut grants = Vec::with_capacity(draw.rows.len());
        for row in &draw.rows {
            let Some(account) = self.accounts.get_mut(&row.budget) else {
                continue;
            };
            let state = self.holders.entry(draw.holder.clone()).or_default();
            state.budgets.insert(row.budget.clone());
            let last_seq = account
                .shares
                .get(&draw.holder)
                .map_or(0, |share| share.seq);
            if draw.seq > last_seq || self.fault == Some(Fault::OldReport) {
                account.report(&draw.holder, draw.seq, row);
                account.allot(&draw.holder, row);
            }
            debug_assert!(account.is_conserved());
            let pending = pending(&self.holders, account);
            grants.push(account.grant_for(&row.budget, &draw.holder, pending));
        }
        match (grants.is_empty(), draw.rows.first()) {
            (true, Some(row)) => Reply::Refused(Refusal::NoBudget(row.budget.clone())),
            _ => Reply::Grants(grants),
        }
    }

    /// Records bills. A closed holder's bills are accepted until it is sealed. A later bill is
    /// refused: otherwise a closed holder that is still running could settle reservations and spend
    /// tokens that were freed.
    pub(crate) fn bill(&mut self, at: Millis, bills: &[Bill]) -> Reply {
        self.bills.prune(at);
        Reply::Billed(
            bills
                .iter()
                .map(|bill| self.record_bill(at, bill))
                .collect(),
        )
    }

    fn record_bill(&mut self, at: Millis, bill: &Bill) -> Billed {
        if self.is_sealed(&bill.holder) && !self.bills.contains(bill) {
            return Billed::Closed;
        }
        let insertion = match self.bills.insert(at, bill) {
            Insertion::OtherAttempt if self.fault == Some(Fault::BillTwice) => Insertion::First,
            insertion => insertion,
        };
        let (charge, billed) = match insertion {
            Insertion::Duplicate => return Billed::Merged,
            Insertion::First => (Charge::Billed, Billed::Recorded),
            Insertion::OtherAttempt => (Charge::Wasted, Billed::Merged),
        };
        let Some(account) = self.accounts.get_mut(&bill.budget) else {
            self.stray = self.stray.saturating_add(1);
            return billed;
        };
        if charge == Charge::Billed {
            account.bills = account.bills.saturating_add(1);
        }
        if charge == Charge::Billed || self.fault != Some(Fault::MergeFree) {
            account.charge(&bill.holder, bill.prompt + bill.generated, charge);
        }
        debug_assert!(account.is_conserved());
        self.drop_settled(&bill.holder);
        billed
    }

    /// Returns the bill of a request, unless it is older than the retention of bills.
    pub fn find_bill(&self, id: &RequestId) -> Option<&Bill> {
        self.bills.get(id)
    }

    /// Returns the balances of all budgets, in order of their names.
    pub fn balances(&self) -> Vec<Balance> {
        let mut balances: Vec<Balance> = self
            .accounts
            .iter()
            .map(|(budget, account)| balance(budget, account))
            .collect();
        balances.sort_by(|a, b| a.budget.cmp(&b.budget));
        balances
    }

    /// Returns the balance of one budget.
    pub fn balance(&self, budget: &Budget) -> Option<Balance> {
        self.accounts
            .get(budget)
            .map(|account| balance(budget, account))
    }

    /// Whether the tokens of all budgets add up to their prepaid totals.
    pub fn is_conserved(&self) -> bool {
        self.accounts.values().all(Account::is_conserved)
    }
}

fn balance(budget: &Budget, account: &Account) -> Balance {
    Balance {
        budget: budget.clone(),
        prepaid: account.prepaid,
        unallotted: account.unallotted,
        allotted: account.unspent_open(),
        billed: account.billed,
        wasted: account.wasted,
        unknown: account.unspent_closed(),
        over: account.over,
        bills: account.bills,
    }
}
