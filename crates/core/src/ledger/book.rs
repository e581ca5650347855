//! The ledger of all budgets, as the control replicas keep it.

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
use crate::ledger::bills::Novelty;
use crate::ledger::closing::Standing;
use crate::machine::Fault;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;

/// All budgets and their holders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    pub(super) accounts: Map<Budget, Account>,
    pub(super) holders: Map<Holder, Standing>,
    bills: Bills,
    /// Bills of budgets that are not configured.
    stray: u64,
    #[serde(skip)]
    pub(super) fault: Option<Fault>,
}

/// Where the tokens of one budget are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Balance {
    /// Which budget.
    pub budget: Budget,
    /// All deposits.
    pub prepaid: Tokens,
    /// Held by nobody.
    pub unallotted: Tokens,
    /// Unspent with open holders, reserved or not.
    pub allotted: Tokens,
    /// Billed.
    pub billed: Tokens,
    /// Produced without a bill.
    pub wasted: Tokens,
    /// With closed holders, until evidence says what became of it.
    pub unknown: Tokens,
    /// Reported beyond what the budget could pay.
    pub over: Tokens,
    /// Number of bills.
    pub bills: u64,
}

impl Ledger {
    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Creates a budget with its first deposit. Changes nothing for a known one.
    pub(crate) fn create(&mut self, budget: &Budget, prepaid: Tokens) {
        if self.accounts.contains_key(budget) {
            return;
        }
        let mut account = Account::default();
        account.deposit(prepaid);
        self.accounts.insert(budget.clone(), account);
    }

    /// Brings a budget to a total: creates it, deposits what lacks, or takes back what nobody
    /// holds. A lower total than what is spent or allotted is reached as far as can be.
    pub(crate) fn set_prepaid(&mut self, budget: &Budget, total: Tokens) {
        let account = self.accounts.entry(budget.clone()).or_default();
        let lacking = total.saturating_sub(account.prepaid);
        let surplus = account.prepaid.saturating_sub(total);
        account.deposit(lacking);
        account.withdraw(surplus);
    }

    /// First deposit and top-ups of a budget.
    pub fn prepaid(&self, budget: &Budget) -> Option<Tokens> {
        self.accounts.get(budget).map(|account| account.prepaid)
    }

    /// Whether a budget has neither money nor history, so that it may go.
    pub fn is_blank(&self, budget: &Budget) -> bool {
        self.accounts
            .get(budget)
            .is_none_or(|account| account.prepaid == Tokens::ZERO && account.bills == 0)
    }

    /// Removes a blank budget.
    pub(crate) fn remove(&mut self, budget: &Budget) {
        if self.is_blank(budget) {
            self.accounts.remove(budget);
        }
    }

    /// Adds a deposit and gives the new total.
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

    /// Opens a holder.
    pub(crate) fn open(&mut self, holder: Holder) {
        self.holders.entry(holder).or_default();
    }

    /// Whether a holder may draw. A region is open until it leaves.
    pub fn is_open(&self, holder: &Holder) -> bool {
        match (self.holders.get(holder), holder) {
            (Some(standing), _) => standing.closed.is_none(),
            (None, Holder::Region(_)) => true,
            (None, Holder::Router(_)) => false,
        }
    }

    /// Takes in a report and answers with the holder's standing.
    pub(crate) fn draw(&mut self, draw: &Draw) -> Reply {
        if !self.is_open(&draw.holder) {
            return Reply::Refused(Refusal::Closed(draw.holder.clone()));
        }
        let mut grants = Vec::with_capacity(draw.rows.len());
        for row in &draw.rows {
            let Some(account) = self.accounts.get_mut(&row.budget) else {
                continue;
            };
            let standing = self.holders.entry(draw.holder.clone()).or_default();
            standing.budgets.insert(row.budget.clone());
            let known = account
                .shares
                .get(&draw.holder)
                .map_or(0, |share| share.seq);
            if draw.seq > known || self.fault == Some(Fault::OldReport) {
                account.report(&draw.holder, draw.seq, row);
                account.allot(&draw.holder, row);
            }
            debug_assert!(account.is_conserved());
            grants.push(account.standing(&row.budget, &draw.holder));
        }
        match (grants.is_empty(), draw.rows.first()) {
            (true, Some(row)) => Reply::Refused(Refusal::NoBudget(row.budget.clone())),
            _ => Reply::Grants(grants),
        }
    }

    /// Takes in bills. They may come from closed holders until these are sealed; a later bill is
    /// refused, else a holder that goes on could settle and spend what was freed.
    pub(crate) fn bill(&mut self, at: Millis, bills: &[Bill]) -> Reply {
        self.bills.prune(at);
        Reply::Billed(bills.iter().map(|bill| self.take(at, bill)).collect())
    }

    fn take(&mut self, at: Millis, bill: &Bill) -> Billed {
        if self.is_sealed(&bill.holder) && !self.bills.knows(bill) {
            return Billed::Closed;
        }
        let novelty = match self.bills.insert(at, bill) {
            Novelty::Other if self.fault == Some(Fault::BillTwice) => Novelty::First,
            novelty => novelty,
        };
        let (charge, billed) = match novelty {
            Novelty::Known => return Billed::Merged,
            Novelty::First => (Charge::Billed, Billed::Recorded),
            Novelty::Other => (Charge::Wasted, Billed::Merged),
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
        self.forget(&bill.holder);
        billed
    }

    /// The bill of a request, within the horizon.
    pub fn find(&self, id: &RequestId) -> Option<&Bill> {
        self.bills.get(id)
    }

    /// Where the tokens of each budget are, by name.
    pub fn balances(&self) -> Vec<Balance> {
        let mut balances: Vec<Balance> = self
            .accounts
            .iter()
            .map(|(budget, account)| balance(budget, account))
            .collect();
        balances.sort_by(|a, b| a.budget.cmp(&b.budget));
        balances
    }

    /// Where the tokens of one budget are.
    pub fn balance(&self, budget: &Budget) -> Option<Balance> {
        self.accounts
            .get(budget)
            .map(|account| balance(budget, account))
    }

    /// Whether all tokens of all budgets are accounted for.
    pub fn is_conserved(&self) -> bool {
        self.accounts.values().all(Account::is_conserved)
    }
}

fn balance(budget: &Budget, account: &Account) -> Balance {
    Balance {
        budget: budget.clone(),
        prepaid: account.prepaid,
        unallotted: account.unallotted,
        allotted: account.spread(),
        billed: account.billed,
        wasted: account.wasted,
        unknown: account.unknown(),
        over: account.over,
        bills: account.bills,
    }
}
