//! A holder's own allotments and the reservations taken from them.
//!
//! Times are of the holder's own monotonic clock; they decide when to report, never what may be
//! spent.

use crate::command::Draw;
use crate::command::DrawRow;
use crate::command::Grant;
use crate::id::Budget;
use crate::id::Holder;
use crate::ledger::pace::Pace;
use crate::ledger::row::Row;
use crate::machine::Fault;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;

/// Tokens set aside for one attempt. Has to be given back, once, by one of the purse's methods.
///
/// A copy belongs to a copy of the purse, as searches make them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Reservation {
    budget: Budget,
    amount: Tokens,
    /// Part of it that comes out of other holders' gifts.
    gift: Tokens,
}

impl Reservation {
    /// How much is set aside.
    pub fn amount(&self) -> Tokens {
        self.amount
    }

    /// From which budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }
}

/// Why a reservation was not possible now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Short {
    /// The allotment is too small; more is asked for with the next [`Purse::draw`], so that waiting
    /// may help.
    #[error("the allotment is too small by {0} tokens")]
    Allotment(Tokens),
    /// The budget as a whole can't pay, as the ledger said a moment ago.
    #[error("the budget is spent")]
    Spent,
}

/// All allotments of one holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Purse {
    holder: Holder,
    pace: Pace,
    seq: u64,
    rows: Map<Budget, Row>,
    left: bool,
    fault: Option<Fault>,
}

impl Purse {
    /// An empty purse.
    pub fn new(holder: Holder) -> Self {
        Self::paced(holder, Pace::default())
    }

    /// An empty purse with settings.
    pub fn paced(holder: Holder, pace: Pace) -> Self {
        Self {
            holder,
            pace,
            seq: 0,
            rows: Map::default(),
            left: false,
            fault: None,
        }
    }

    /// A purse that breaks a rule, for checks that have to fail.
    pub fn with_fault(holder: Holder, fault: Fault) -> Self {
        Self {
            fault: Some(fault),
            ..Self::new(holder)
        }
    }

    /// Whose purse it is.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Tokens of a budget that are neither spent nor reserved.
    pub fn free(&self, budget: &Budget) -> Tokens {
        self.rows.get(budget).map_or(Tokens::ZERO, Row::free)
    }

    /// Tokens of a budget that unfinished attempts reserve.
    pub fn reserved(&self, budget: &Budget) -> Tokens {
        self.rows
            .get(budget)
            .map_or(Tokens::ZERO, |row| row.reserved)
    }

    /// When a caller that was refused may try again: a span.
    pub fn retry_after(&self, short: Short) -> Millis {
        match short {
            Short::Allotment(_) => RETRY_SHORT_MILLIS,
            Short::Spent => RETRY_SPENT_MILLIS,
        }
    }

    /// Asks for a first allotment of a budget with the next draw, before any request needs it.
    pub fn expect(&mut self, budget: &Budget) {
        if !self.left && !self.rows.contains_key(budget) {
            let row = Row::expected(self.pace.step);
            self.rows.insert(budget.clone(), row);
        }
    }

    /// Sets the worst case of an attempt aside.
    ///
    /// # Errors
    ///
    /// [`Short`] if the allotment or the granted exposure does not cover it; then the need is
    /// remembered for the next draw.
    pub fn reserve(
        &mut self,
        now: Millis,
        budget: &Budget,
        worst: Tokens,
    ) -> Result<Reservation, Short> {
        if self.left {
            return Err(Short::Allotment(worst));
        }
        let row = self.rows.entry(budget.clone()).or_default();
        let gift = row.gift.min(worst);
        let own = worst.saturating_sub(gift);
        if own > Tokens::ZERO {
            row.reserve(now, own)?;
        }
        row.gift = row.gift.saturating_sub(gift);
        Ok(Reservation {
            budget: budget.clone(),
            amount: worst,
            gift,
        })
    }

    /// Ends a reservation whose bill is safe: `used` was billed, `wasted` was produced besides.
    ///
    /// The bill is safe once a control replica has it on disk. A reply that the bill was merged
    /// changes nothing here: the ledger counts its tokens as wasted.
    pub fn settle(&mut self, held: Reservation, used: Tokens, wasted: Tokens) {
        let Some(row) = self.rows.get_mut(&held.budget) else {
            return;
        };
        // The givers have charged the gift already, so it pays first for what has no bill here.
        let own = held.amount.saturating_sub(held.gift);
        let given = held.gift.min(wasted);
        row.gift += held.gift.saturating_sub(given);
        row.settle(own, used, wasted.saturating_sub(given));
    }

    /// Gives tokens to another holder: at most three quarters of what is free and at least `least`, or
    /// nothing. They count as spent here.
    pub fn give(&mut self, budget: &Budget, least: Tokens, most: Tokens) -> Tokens {
        let spare = Tokens(self.free(budget).0 / 4 * 3).min(most);
        let Some(row) = self.rows.get_mut(budget) else {
            return Tokens::ZERO;
        };
        let amount = spare.min(row.room());
        if self.left || amount < least {
            return Tokens::ZERO;
        }
        row.settle(Tokens::ZERO, Tokens::ZERO, amount);
        amount
    }

    /// What is lacking for a request of this size.
    pub fn lacking(&self, budget: &Budget, worst: Tokens) -> Tokens {
        self.rows
            .get(budget)
            .map_or(worst, |row| row.lacking(worst))
    }

    /// Takes in what another holder gave.
    pub fn receive(&mut self, budget: &Budget, amount: Tokens) {
        self.rows.entry(budget.clone()).or_default().gift += amount;
    }

    /// Ends a reservation of an attempt that provably produced `wasted` tokens and is not billed.
    pub fn release(&mut self, held: Reservation, wasted: Tokens) {
        self.settle(held, Tokens::ZERO, wasted);
    }

    /// The report to send to the ledger, if one is due. Cheap; to be asked a few times a second and
    /// after each [`Short`].
    pub fn draw(&mut self, now: Millis) -> Option<Draw> {
        if self.left {
            return None;
        }
        let pace = self.pace;
        self.rows
            .values_mut()
            .for_each(|row| row.measure(now, &pace));
        if !self.rows.values().any(|row| row.is_due(now, &pace)) {
            return None;
        }
        let seq = self.seq + 1;
        let near = self
            .rows
            .iter_mut()
            .filter(|(_, row)| row.is_near(now, &pace));
        let mut rows: Vec<DrawRow> = near
            .map(|(budget, row)| row.ask(now, seq, budget, &pace, self.fault))
            .collect();
        rows.sort_by(|a, b| a.budget.cmp(&b.budget));
        self.seq = seq;
        Some(Draw {
            holder: self.holder.clone(),
            seq,
            rows,
        })
    }

    /// Takes in the ledger's answer.
    pub fn grant(&mut self, now: Millis, grants: impl IntoIterator<Item = Grant>) {
        if self.left {
            return;
        }
        for grant in grants {
            let row = self.rows.entry(grant.budget.clone()).or_default();
            row.take(now, &grant, self.fault);
        }
        self.rows.retain(|_, row| !row.is_blank(now));
    }

    /// The last report of a holder that stops: returns all that is neither spent nor reserved. The
    /// purse reserves nothing after it.
    pub fn leave(&mut self) -> Draw {
        self.left = true;
        self.seq += 1;
        let mut rows: Vec<DrawRow> = self
            .rows
            .iter_mut()
            .map(|(budget, row)| row.last(budget))
            .collect();
        rows.sort_by(|a, b| a.budget.cmp(&b.budget));
        Draw {
            holder: self.holder.clone(),
            seq: self.seq,
            rows,
        }
    }
}

const RETRY_SHORT_MILLIS: Millis = Millis(1_000);
const RETRY_SPENT_MILLIS: Millis = Millis(60_000);
