//! One budget in a purse.

use crate::command::DrawRow;
use crate::command::Grant;
use crate::id::Budget;
use crate::ledger::pace::Pace;
use crate::ledger::purse::Short;
use crate::machine::Fault;
use crate::unit::Millis;
use crate::unit::Tokens;

/// Least exposure asked for.
const EXPOSURE_STEP: Tokens = Tokens(8_000);

/// A holder may spend one in so many of its tokens without a report. As holders draw half of a budget
/// ahead, the loss of all of them leaves five sixths of it.
const EXPOSED_PART: u64 = 3;

/// Wait for an answer before a report is repeated.
const RESEND_MILLIS: Millis = Millis(500);

/// Least time between reports when the last one brought too little.
const RETRY_MILLIS: Millis = Millis(100);

/// Tokens are scarce while less than so many of the largest reservations are unallotted.
const SCARCE_COUNT: u64 = 16;

/// Without a reservation for this long, all is returned.
const IDLE_MILLIS: Millis = Millis(300_000);

/// How long the largest exposure is remembered, at least; at most twice as long.
const PEAK_MILLIS: Millis = Millis(300_000);

/// Age up to which the ledger's last word on the whole budget counts.
const FRESH_MILLIS: Millis = Millis(2_000);

/// Least span over which the rate of spending is measured.
const RATE_MILLIS: Millis = Millis(1_000);

/// All counts but `reserved` are cumulative.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Row {
    pub reserved: Tokens,
    /// Tokens that another holder has given, charged there.
    pub gift: Tokens,
    granted: Tokens,
    returned: Tokens,
    billed: Tokens,
    wasted: Tokens,
    /// Part of `wasted` that the ledger has taken in.
    acked: Tokens,
    /// Bound on `reserved` and the waste that the ledger doesn't know.
    limit: Tokens,
    /// Largest reservation that failed since the last answer.
    need: Tokens,
    peak: Peak,
    /// Largest reservation asked for.
    largest: Tokens,
    /// Free tokens after the last answer.
    level: Tokens,
    /// Tokens asked back.
    recall: Tokens,
    last: Option<Sent>,
    word: Option<Word>,
    rate: Rate,
    /// Time of the last reservation.
    used: Millis,
}

/// The last report.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Sent {
    seq: u64,
    at: Millis,
    exposure: Tokens,
    wasted: Tokens,
    answered: bool,
}

/// What the ledger last said of the whole budget.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Word {
    at: Millis,
    unallotted: Tokens,
    spread: Tokens,
}

/// Largest exposure needed of late.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Peak {
    at: Millis,
    last: Tokens,
    this: Tokens,
}

/// Recent spending.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Rate {
    start: Option<Millis>,
    at: Millis,
    spent: Tokens,
    /// Thousandths of a token per second.
    milli: u64,
}

impl Row {
    /// A row that asks for tokens before any request does.
    pub fn expected(need: Tokens) -> Self {
        Self {
            need,
            ..Self::default()
        }
    }

    pub fn free(&self) -> Tokens {
        self.granted.saturating_sub(self.used())
    }

    fn used(&self) -> Tokens {
        self.returned + self.billed + self.wasted + self.reserved
    }

    /// What may still be spent without a report.
    pub fn room(&self) -> Tokens {
        self.limit.saturating_sub(self.exposed())
    }

    /// Tokens that a crash now would leave unaccounted for.
    fn exposed(&self) -> Tokens {
        self.reserved + self.wasted.saturating_sub(self.acked)
    }

    /// Whether the row has never held anything and waits for nothing. Other rows stay: their counts
    /// are cumulative.
    pub fn is_blank(&self, now: Millis) -> bool {
        let held = self.granted + self.need + self.gift;
        let is_empty = held == Tokens::ZERO;
        let is_answered = self.last.as_ref().is_none_or(|last| last.answered);
        let is_fresh = self
            .word
            .as_ref()
            .is_some_and(|word| now <= word.at + FRESH_MILLIS);
        is_empty && is_answered && !is_fresh
    }

    pub fn reserve(&mut self, now: Millis, worst: Tokens) -> Result<(), Short> {
        let free = self.free();
        let exposed = self.exposed() + worst;
        self.peak.note(now, exposed);
        self.largest = self.largest.max(worst);
        if free >= worst && exposed <= self.limit {
            self.reserved += worst;
            self.used = now;
            return Ok(());
        }
        if free < worst && self.is_spent(now, worst) {
            return Err(Short::Spent);
        }
        self.need = self.need.max(worst);
        Err(Short::Allotment(worst.saturating_sub(free)))
    }

    /// Whether the ledger said a moment ago that nobody has what it takes.
    fn is_spent(&self, now: Millis, worst: Tokens) -> bool {
        self.word.as_ref().is_some_and(|word| {
            let is_fresh = now <= word.at + FRESH_MILLIS;
            is_fresh && word.unallotted + word.spread < worst
        })
    }

    /// What is lacking for a request of this size.
    pub fn lacking(&self, worst: Tokens) -> Tokens {
        let own = self.free().min(self.room());
        worst.saturating_sub(self.gift + own)
    }

    pub fn settle(&mut self, amount: Tokens, used: Tokens, wasted: Tokens) {
        self.reserved = self.reserved.saturating_sub(amount);
        self.billed += used;
        self.wasted += wasted;
    }

    /// Whether a report is due.
    pub fn is_due(&self, now: Millis, pace: &Pace) -> bool {
        self.is_past(now, 1, pace)
    }

    /// Whether a report may go along with that of another budget.
    pub fn is_near(&self, now: Millis, pace: &Pace) -> bool {
        self.is_past(now, 2, pace)
    }

    /// Measures the rate of spending.
    pub fn measure(&mut self, now: Millis, pace: &Pace) {
        let spent = self.billed + self.wasted;
        self.rate.measure(now, spent, pace.fade);
    }

    /// The report.
    pub fn ask(
        &mut self,
        now: Millis,
        seq: u64,
        budget: &Budget,
        pace: &Pace,
        fault: Option<Fault>,
    ) -> DrawRow {
        self.hand_back(now, pace);
        let exposure = self.wished_exposure(now, pace);
        self.limit = self.limit.min(exposure);
        self.last = Some(Sent {
            seq,
            at: now,
            exposure,
            wasted: self.wasted,
            answered: false,
        });
        let need = self.used() + self.need;
        let row = DrawRow {
            budget: budget.clone(),
            want: need + self.ahead(now, pace),
            need,
            returned: self.returned,
            wasted: self.wasted,
            exposure,
            rate: self.rate.per_second(),
        };
        if fault == Some(Fault::KeepReturned) {
            self.returned = Tokens::ZERO;
        }
        row
    }

    /// Whether a part of the time between reports is over, or there is another reason for one.
    fn is_past(&self, now: Millis, part: u64, pace: &Pace) -> bool {
        let Some(last) = &self.last else {
            return self.need > Tokens::ZERO;
        };
        if !last.answered {
            return now >= last.at + RESEND_MILLIS;
        }
        if now < last.at + RETRY_MILLIS {
            return false;
        }
        let is_tight = pace.cover == 0 && self.peak.doubled() > self.limit;
        let is_short = self.need > Tokens::ZERO || is_tight;
        let has_idle = self.recall.min(self.idle()) > Tokens::ZERO;
        is_short || has_idle || now >= last.at + Millis(self.interval(now, pace).0 / part)
    }

    fn interval(&self, now: Millis, pace: &Pace) -> Millis {
        let held = self.free() + self.reserved;
        let is_settled = held == Tokens::ZERO && self.wasted == self.acked;
        if is_settled {
            return Millis(u64::MAX);
        }
        let is_scarce = self.word.as_ref().is_some_and(|word| {
            let few = Tokens(self.largest.0.saturating_mul(SCARCE_COUNT));
            word.unallotted < few
        });
        let is_low = self.free().0 < self.level.0 / 2 && self.ahead(now, pace) > self.free();
        if is_scarce || is_low {
            return pace.scarce;
        }
        pace.ample
    }

    /// Tokens to hold beyond the need.
    fn ahead(&self, now: Millis, pace: &Pace) -> Tokens {
        if self.is_idle(now) {
            return Tokens::ZERO;
        }
        pace.step.max(self.rate.over(pace.ahead))
    }

    fn is_idle(&self, now: Millis) -> bool {
        now >= self.used + IDLE_MILLIS && self.need == Tokens::ZERO
    }

    /// Free tokens that are not about to be used.
    fn idle(&self) -> Tokens {
        self.free().saturating_sub(self.need)
    }

    fn hand_back(&mut self, now: Millis, pace: &Pace) {
        let recalled = self.recall.min(self.idle());
        let surplus = match self.is_idle(now) {
            true => self.free(),
            false => self
                .free()
                .saturating_sub(self.ahead(now, pace) + self.ahead(now, pace)),
        };
        self.returned += recalled.max(surplus);
        self.recall = Tokens::ZERO;
    }

    fn wished_exposure(&mut self, now: Millis, pace: &Pace) -> Tokens {
        if pace.cover > 0 {
            // Part of the rest at most: after the loss of all holders, most of a budget is left.
            // A new holder has nothing yet: the first step that it asks for counts, as the next report
            // may find no ledger.
            let held = (self.free() + self.reserved).max(pace.step);
            let most = Tokens(held.0 / EXPOSED_PART);
            let cover = match self.rate.is_young(now, pace.fade) {
                // Too little is known of the demand yet.
                true => most,
                false => most.min(self.rate.over(pace.cover)),
            };
            return self.exposed() + self.need + cover;
        }
        let wished = self.peak.doubled();
        let steps = wished.0.div_ceil(EXPOSURE_STEP.0).max(1);
        let wished = Tokens(EXPOSURE_STEP.0.saturating_mul(steps));
        wished.max(self.exposed())
    }

    /// Takes in the ledger's answer.
    pub fn take(&mut self, now: Millis, grant: &Grant, fault: Option<Fault>) {
        self.granted = self.granted.max(grant.granted);
        if fault == Some(Fault::LateExposure) {
            self.limit = grant.exposure;
        }
        let Some(last) = &mut self.last else {
            return;
        };
        if grant.seq < last.seq {
            return;
        }
        last.answered = true;
        self.acked = self.acked.max(last.wasted);
        self.limit = grant.exposure.min(last.exposure);
        self.recall = grant.recall;
        self.need = Tokens::ZERO;
        self.level = self.free();
        self.word = Some(Word {
            at: now,
            unallotted: grant.unallotted,
            spread: grant.spread,
        });
    }

    /// The last report: the reservations still held stay exposed.
    pub fn last(&mut self, budget: &Budget) -> DrawRow {
        self.returned += self.free();
        DrawRow {
            budget: budget.clone(),
            want: self.granted,
            need: self.granted,
            returned: self.returned,
            wasted: self.wasted,
            exposure: self.reserved,
            rate: Tokens::ZERO,
        }
    }
}

impl Peak {
    fn note(&mut self, now: Millis, exposed: Tokens) {
        if now >= self.at + PEAK_MILLIS {
            self.at = now;
            self.last = self.this;
            self.this = Tokens::ZERO;
        }
        self.this = self.this.max(exposed);
    }

    fn doubled(&self) -> Tokens {
        let peak = self.last.max(self.this);
        peak + peak
    }
}

impl Rate {
    /// A mean over the whole past at first, in which older spending fades later.
    fn measure(&mut self, now: Millis, spent: Tokens, fade: Millis) {
        if self.start.is_none() && spent == Tokens::ZERO {
            // Idle time before the first request says nothing of the demand.
            self.at = now;
            return;
        }
        let start = *self.start.get_or_insert(self.at);
        let span = now.saturating_sub(self.at).0;
        if span < RATE_MILLIS.0 {
            return;
        }
        let more = spent.saturating_sub(self.spent).0;
        let recent = more.saturating_mul(1_000_000) / span;
        let past = now.saturating_sub(start).0.min(fade.0);
        let past = past.saturating_sub(span).saturating_add(1);
        let (old, new) = (u128::from(self.milli), u128::from(recent));
        let (past, span) = (u128::from(past), u128::from(span));
        let mean = (old * past + new * span) / (past + span);
        self.milli = u64::try_from(mean).unwrap_or(u64::MAX);
        self.at = now;
        self.spent = spent;
    }

    /// Whether the rate is known for less than twice the span over which older spending fades.
    fn is_young(&self, now: Millis, fade: Millis) -> bool {
        let start = self.start.unwrap_or(now);
        now < start + fade + fade
    }

    fn per_second(&self) -> Tokens {
        Tokens(self.milli / 1_000)
    }

    fn over(&self, seconds: u64) -> Tokens {
        Tokens(self.milli.saturating_mul(seconds) / 1_000)
    }
}
