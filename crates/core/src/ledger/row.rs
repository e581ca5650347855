//! One budget in a purse.

use crate::command::DrawRow;
use crate::command::Grant;
use crate::id::Budget;
use crate::ledger::purse::Short;
use crate::machine::Fault;
use crate::unit::Millis;
use crate::unit::Tokens;

/// Least tokens drawn ahead.
const STEP: Tokens = Tokens(20_000);

/// Span of recent spending that is drawn ahead.
const AHEAD_SECONDS: u64 = 900;

/// Span of recent spending that is kept when others run short.
const KEEP_SECONDS: u64 = 2;

/// Least exposure asked for.
const EXPOSURE_STEP: Tokens = Tokens(8_000);

/// Wait for an answer before a report is repeated.
const RESEND_MILLIS: Millis = Millis(500);

/// Least time between reports when the last one brought too little.
const RETRY_MILLIS: Millis = Millis(100);

/// Time between reports while more is allotted than left.
const SCARCE_MILLIS: Millis = Millis(500);

/// Time between reports otherwise.
const AMPLE_MILLIS: Millis = Millis(10_000);

/// Without a reservation for this long, all is returned.
const IDLE_MILLIS: Millis = Millis(60_000);

/// Age up to which the ledger's last word on the whole budget counts.
const FRESH_MILLIS: Millis = Millis(2_000);

/// Span over which the rate of spending is measured.
const RATE_MILLIS: Millis = Millis(1_000);

/// All counts but `reserved` are cumulative.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Row {
    pub reserved: Tokens,
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
    /// Largest exposure needed of late; falls by an eighth with each answer.
    peak: Tokens,
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

/// Recent spending.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Rate {
    at: Millis,
    spent: Tokens,
    per_second: Tokens,
}

impl Row {
    pub fn free(&self) -> Tokens {
        self.granted.saturating_sub(self.used())
    }

    fn used(&self) -> Tokens {
        self.returned + self.billed + self.wasted + self.reserved
    }

    /// Tokens that a crash now would leave unaccounted for.
    fn exposed(&self) -> Tokens {
        self.reserved + self.wasted.saturating_sub(self.acked)
    }

    /// Whether the row has never held anything and waits for nothing. Other rows stay: their counts
    /// are cumulative.
    pub fn is_blank(&self, now: Millis) -> bool {
        let is_empty = self.granted == Tokens::ZERO && self.need == Tokens::ZERO;
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
        self.peak = self.peak.max(exposed);
        if free >= worst && exposed <= self.limit {
            self.reserved += worst;
            self.used = now;
            return Ok(());
        }
        if free < worst && self.is_spent(now, worst) {
            return Err(Short::Spent);
        }
        self.need = self.need.max(worst);
        if free >= worst {
            self.peak += worst;
        }
        Err(Short::Allotment(worst.saturating_sub(free)))
    }

    /// Whether the ledger said a moment ago that nobody has what it takes.
    fn is_spent(&self, now: Millis, worst: Tokens) -> bool {
        self.word.as_ref().is_some_and(|word| {
            let is_fresh = now <= word.at + FRESH_MILLIS;
            is_fresh && word.unallotted + word.spread < worst
        })
    }

    pub fn settle(&mut self, amount: Tokens, used: Tokens, wasted: Tokens) {
        self.reserved = self.reserved.saturating_sub(amount);
        self.billed += used;
        self.wasted += wasted;
    }

    /// The report, if one is due.
    pub fn ask(
        &mut self,
        now: Millis,
        seq: u64,
        budget: &Budget,
        fault: Option<Fault>,
    ) -> Option<DrawRow> {
        self.rate.measure(now, self.billed + self.wasted);
        if !self.is_due(now) {
            return None;
        }
        self.hand_back(now);
        let exposure = self.wished_exposure();
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
            want: need + self.ahead(now),
            need,
            returned: self.returned,
            wasted: self.wasted,
            exposure,
            rate: self.rate.per_second,
        };
        if fault == Some(Fault::KeepReturned) {
            self.returned = Tokens::ZERO;
        }
        Some(row)
    }

    fn is_due(&self, now: Millis) -> bool {
        let Some(last) = &self.last else {
            return self.need > Tokens::ZERO;
        };
        if !last.answered {
            return now >= last.at + RESEND_MILLIS;
        }
        if now < last.at + RETRY_MILLIS {
            return false;
        }
        let is_short = self.need > Tokens::ZERO || self.peak + self.peak > self.limit;
        let has_idle = self.recall.min(self.idle()) > Tokens::ZERO;
        is_short || has_idle || now >= last.at + self.interval(now)
    }

    fn interval(&self, now: Millis) -> Millis {
        let held = self.free() + self.reserved;
        let is_settled = held == Tokens::ZERO && self.wasted == self.acked;
        if is_settled {
            return Millis(u64::MAX);
        }
        let is_scarce = self
            .word
            .as_ref()
            .is_some_and(|word| word.unallotted < word.spread);
        let is_low = self.free().0 < self.level.0 / 2 && self.ahead(now) > self.free();
        if is_scarce || is_low {
            return SCARCE_MILLIS;
        }
        AMPLE_MILLIS
    }

    /// Tokens to hold beyond the need.
    fn ahead(&self, now: Millis) -> Tokens {
        if self.is_idle(now) {
            return Tokens::ZERO;
        }
        STEP.max(Tokens(self.rate.per_second.0.saturating_mul(AHEAD_SECONDS)))
    }

    fn is_idle(&self, now: Millis) -> bool {
        now >= self.used + IDLE_MILLIS && self.need == Tokens::ZERO
    }

    /// Free tokens that are not about to be used.
    fn idle(&self) -> Tokens {
        let keep = self.rate.per_second.0.saturating_mul(KEEP_SECONDS);
        self.free().saturating_sub(Tokens(keep) + self.need)
    }

    fn hand_back(&mut self, now: Millis) {
        let recalled = self.recall.min(self.idle());
        let surplus = match self.is_idle(now) {
            true => self.free(),
            false => self
                .free()
                .saturating_sub(self.ahead(now) + self.ahead(now)),
        };
        self.returned += recalled.max(surplus);
        self.recall = Tokens::ZERO;
    }

    fn wished_exposure(&mut self) -> Tokens {
        let steps = (self.peak + self.peak).0.div_ceil(EXPOSURE_STEP.0).max(1);
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
        self.peak = self.exposed().max(Tokens(self.peak.0 - self.peak.0 / 8));
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

impl Rate {
    /// Rises at once and falls by half with each span.
    fn measure(&mut self, now: Millis, spent: Tokens) {
        let span = now.saturating_sub(self.at);
        if span < RATE_MILLIS {
            return;
        }
        let more = spent.saturating_sub(self.spent);
        let recent = more.0.saturating_mul(1_000) / span.0.max(1);
        self.per_second = Tokens(recent.max(self.per_second.0 / 2));
        self.at = now;
        self.spent = spent;
    }
}
