//! A holder's own allotments and the reservations taken from them.

use crate::command::Draw;
use crate::command::DrawRow;
use crate::command::Grant;
use crate::id::Budget;
use crate::id::Holder;
use crate::map::Map;
use crate::unit::Millis;
use crate::unit::Tokens;

/// Tokens set aside for one attempt. Has to be given back by one of the purse's methods.
#[derive(Debug, Eq, PartialEq)]
pub struct Reservation {
    budget: Budget,
    amount: Tokens,
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
    /// The allotment is too small; more has been asked for with the next [`Purse::draw`].
    #[error("the allotment is too small by {0} tokens")]
    Allotment(Tokens),
    /// The budget as a whole can't pay, as far as the ledger last said.
    #[error("the budget is spent")]
    Spent,
}

/// All allotments of one holder.
#[derive(Debug)]
pub struct Purse {
    holder: Holder,
    seq: u64,
    rows: Map<Budget, Row>,
}

#[derive(Debug, Default)]
struct Row {
    granted: Tokens,
    billed: Tokens,
    wasted: Tokens,
    reserved: Tokens,
    need: Tokens,
}

const STEP: Tokens = Tokens(20_000);

impl Purse {
    /// An empty purse.
    pub fn new(holder: Holder) -> Self {
        Self {
            holder,
            seq: 0,
            rows: Map::default(),
        }
    }

    /// Whose purse it is.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Sets the worst case of an attempt aside.
    ///
    /// # Errors
    ///
    /// [`Short`] if the allotment does not cover it; then the need is remembered for the next draw.
    pub fn reserve(
        &mut self,
        _now: Millis,
        budget: &Budget,
        worst: Tokens,
    ) -> Result<Reservation, Short> {
        let row = self.rows.entry(budget.clone()).or_default();
        let free = row.free();
        if free < worst {
            row.need = worst;
            return Err(Short::Allotment(worst.saturating_sub(free)));
        }
        row.reserved += worst;
        Ok(Reservation {
            budget: budget.clone(),
            amount: worst,
        })
    }

    /// Ends a reservation whose bill is safe: `used` was billed, `wasted` was produced besides.
    pub fn settle(&mut self, held: Reservation, used: Tokens, wasted: Tokens) {
        let Some(row) = self.rows.get_mut(&held.budget) else {
            return;
        };
        row.reserved = row.reserved.saturating_sub(held.amount);
        row.billed += used;
        row.wasted += wasted;
    }

    /// Ends a reservation of an attempt that provably produced `wasted` tokens and is not billed.
    pub fn release(&mut self, held: Reservation, wasted: Tokens) {
        self.settle(held, Tokens::ZERO, wasted);
    }

    /// The report to send to the ledger, if one is due.
    pub fn draw(&mut self, _now: Millis) -> Option<Draw> {
        let rows: Vec<DrawRow> = self
            .rows
            .iter()
            .filter_map(|(budget, row)| row.ask(budget))
            .collect();
        if rows.is_empty() {
            return None;
        }
        self.seq += 1;
        Some(Draw {
            holder: self.holder.clone(),
            seq: self.seq,
            rows,
        })
    }

    /// Takes in the ledger's answer.
    pub fn grant(&mut self, _now: Millis, grants: impl IntoIterator<Item = Grant>) {
        for grant in grants {
            let row = self.rows.entry(grant.budget).or_default();
            row.granted = row.granted.max(grant.granted);
        }
    }

    /// The last report of a holder that stops: returns all that is not spent.
    pub fn leave(&mut self) -> Draw {
        self.seq += 1;
        let holder = self.holder.clone();
        let rows = self
            .rows
            .iter()
            .map(|(budget, row)| row.report(budget))
            .collect();
        Draw {
            holder,
            seq: self.seq,
            rows,
        }
    }
}

impl Row {
    fn free(&self) -> Tokens {
        self.granted
            .saturating_sub(self.billed)
            .saturating_sub(self.wasted)
            .saturating_sub(self.reserved)
    }

    fn ask(&self, budget: &Budget) -> Option<DrawRow> {
        if self.free() >= STEP && self.free() >= self.need {
            return None;
        }
        Some(self.report(budget))
    }

    fn report(&self, budget: &Budget) -> DrawRow {
        let used = self.billed + self.wasted + self.reserved;
        DrawRow {
            budget: budget.clone(),
            want: used + self.need + STEP,
            need: used + self.need,
            returned: Tokens::ZERO,
            wasted: self.wasted,
            exposure: self.granted,
            rate: Tokens::ZERO,
        }
    }
}
