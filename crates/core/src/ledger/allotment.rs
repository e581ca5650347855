//! A holder's allotment of one budget.

use crate::command::DrawRow;
use crate::command::Grant;
use crate::id::Budget;
use crate::ledger::borrower::LedgerLink;
use crate::ledger::demand::Demand;
use crate::ledger::demand::Rate;
use crate::ledger::draw_policy::DrawPolicy;
use crate::ledger::holder::ReserveError;
use crate::ledger::shortage::Holding;
use crate::ledger::shortage::LoanAnswers;
use crate::ledger::shortage::Shortage;
use crate::machine::Fault;
use crate::unit::Millis;
use crate::unit::Tokens;

/// Least exposure asked for if the exposure follows the largest recent one; others are rounded up
/// to a multiple of it.
const EXPOSURE_STEP_TOKENS: Tokens = Tokens(8_000);

/// A holder may spend at most its tokens divided by this without a report. As all holders together
/// draw half of a budget ahead, the loss of all of them leaves five sixths of it.
const EXPOSED_DIVISOR: u64 = 3;

/// Time without an answer after which a report is repeated.
const REPORT_TIMEOUT_MILLIS: Millis = Millis(500);

/// Least time between two reports if the first was answered.
const MIN_REPORT_GAP_MILLIS: Millis = Millis(100);

/// Tokens are scarce while fewer than so many of the largest reservations are unallotted.
const SCARCE_RESERVATIONS: u64 = 16;

/// Time without a reservation after which all free tokens are returned.
const IDLE_TIMEOUT_MILLIS: Millis = Millis(300_000);

/// Least time for which the largest exposure is remembered; the most is twice as long.
const PEAK_WINDOW_MILLIS: Millis = Millis(300_000);

/// Age up to which the ledger's last answer on the whole budget is relied on.
const STATUS_TTL_MILLIS: Millis = Millis(2_000);

/// Seconds of demand that a need covers beyond the requests that wait. A report, its answer and the
/// next report take about a second on a busy link.
const NEED_SECONDS: u64 = 1;

/// What a holder has of one budget.
///
/// `granted`, `returned`, `billed`, `wasted` and `acknowledged` are cumulative.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Allotment {
    /// Tokens of unfinished attempts.
    pub reserved: Tokens,
    /// Tokens transferred from other holders, already counted as wasted there.
    pub transferred: Tokens,
    granted: Tokens,
    returned: Tokens,
    billed: Tokens,
    wasted: Tokens,
    /// Part of `wasted` that the ledger has acknowledged.
    acknowledged: Tokens,
    /// Bound on `reserved` plus the waste that the ledger has not acknowledged.
    exposure_limit: Tokens,
    /// Largest reservation that failed since the last answer.
    need: Tokens,
    peak: Peak,
    /// Largest reservation ever tried.
    largest: Tokens,
    /// Free tokens right after the last answer.
    last_free: Tokens,
    /// Tokens that the ledger recalls.
    recalled: Tokens,
    last_report: Option<SentReport>,
    status: Option<BudgetStatus>,
    /// Rate of spending, loans to others included.
    rate: Rate,
    demand: Demand,
    /// Time of the last reservation.
    last_used: Millis,
}

/// Tokens that a holder can lend, or lends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Loanable {
    /// Out of tokens that it borrowed.
    pub borrowed: Tokens,
    /// Out of its own allotment.
    pub own: Tokens,
}

impl Loanable {
    /// Returns the sum.
    pub fn total(&self) -> Tokens {
        self.borrowed + self.own
    }

    /// Returns at most `most` of these tokens, borrowed ones first.
    pub fn up_to(&self, most: Tokens) -> Self {
        let borrowed = self.borrowed.min(most);
        let own = self.own.min(most.saturating_sub(borrowed));
        Self { borrowed, own }
    }
}

/// The report sent last.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentReport {
    seq: u64,
    at: Millis,
    exposure: Tokens,
    wasted: Tokens,
    answered: bool,
}

/// State of the whole budget in the ledger's last answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct BudgetStatus {
    at: Millis,
    unallotted: Tokens,
    /// Unspent tokens of all open holders together.
    unspent: Tokens,
    /// Tokens of closed holders that are free once they are sealed.
    pending: Tokens,
}

/// Largest exposure needed in the current and the previous window.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Peak {
    window_start: Millis,
    previous: Tokens,
    current: Tokens,
}

impl Allotment {
    /// Creates an allotment that asks for tokens before any request does.
    pub fn prefetched(need: Tokens) -> Self {
        Self {
            need,
            ..Self::default()
        }
    }

    /// Returns the tokens that are neither spent nor reserved.
    pub fn free(&self) -> Tokens {
        self.granted.saturating_sub(self.used())
    }

    /// Returns the granted tokens that are no longer free.
    fn used(&self) -> Tokens {
        self.returned + self.billed + self.wasted + self.reserved
    }

    /// Returns what may still be reserved or wasted without a report.
    pub fn exposure_left(&self) -> Tokens {
        self.exposure_limit.saturating_sub(self.exposed())
    }

    /// Returns the tokens that would be unaccounted for if the holder crashed now.
    fn exposed(&self) -> Tokens {
        self.reserved + self.wasted.saturating_sub(self.acknowledged)
    }

    /// Whether the allotment never held tokens and waits for no answer, so that it can be dropped.
    /// Others have to stay, as their counts are cumulative.
    pub fn is_unused(&self, now: Millis) -> bool {
        let held = self.granted + self.need + self.transferred + self.demand.waiting();
        let is_empty = held == Tokens::ZERO;
        let is_answered = self.last_report.as_ref().is_none_or(|last| last.answered);
        let is_fresh = self
            .status
            .as_ref()
            .is_some_and(|status| now <= status.at + STATUS_TTL_MILLIS);
        is_empty && is_answered && !is_fresh
    }

    /// Reserves the worst case of an attempt, or raises the need.
    pub fn reserve(&mut self, now: Millis, worst_case: Tokens) -> Result<(), ReserveError> {
        let free = self.free();
        let exposed = self.exposed() + worst_case;
        self.peak.record(now, exposed);
        self.largest = self.largest.max(worst_case);
        if free >= worst_case && exposed <= self.exposure_limit {
            self.reserved += worst_case;
            self.last_used = now;
            return Ok(());
        }
        if free < worst_case && self.is_known_spent(now, worst_case) {
            return Err(ReserveError::Spent);
        }
        self.need = self.need.max(worst_case);
        Err(ReserveError::Allotment(worst_case.saturating_sub(free)))
    }

    /// Whether all unspent tokens of the budget together don't cover the worst case, according to a
    /// recent answer of the ledger. Tokens that seals will free count as unspent; those that a lost
    /// holder may have spent don't, as nothing under way frees them.
    fn is_known_spent(&self, now: Millis, worst_case: Tokens) -> bool {
        self.status.as_ref().is_some_and(|status| {
            let is_fresh = now <= status.at + STATUS_TTL_MILLIS;
            is_fresh && status.unallotted + status.unspent + status.pending < worst_case
        })
    }

    /// Returns how many tokens a reservation of this size lacks.
    pub fn shortfall(&self, worst_case: Tokens) -> Tokens {
        let own = self.free().min(self.exposure_left());
        worst_case.saturating_sub(self.transferred + own)
    }

    /// Counts a request that waits for tokens.
    pub fn begin_wait(&mut self, worst_case: Tokens) {
        self.demand.begin_wait(worst_case);
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self, worst_case: Tokens, served: bool) {
        self.demand.end_wait(worst_case, served);
    }

    /// Returns the tokens to borrow: what the waiting requests lack, and a second of demand. Zero
    /// if none waits.
    pub fn loan_target(&self) -> Tokens {
        if self.demand.waiting() == Tokens::ZERO {
            return Tokens::ZERO;
        }
        self.shortfall(self.demand.expected(NEED_SECONDS))
    }

    /// Returns why a request of this size is refused.
    pub fn shortage(
        &self,
        worst_case: Tokens,
        link: LedgerLink,
        answers: &LoanAnswers,
    ) -> Shortage {
        let status = self.status.as_ref();
        let unallotted = status.map_or(Tokens::ZERO, |status| status.unallotted);
        let holding = Holding {
            free: self.transferred + self.free(),
            unallotted: match link {
                LedgerLink::Answering => unallotted,
                LedgerLink::Silent => Tokens::ZERO,
            },
        };
        holding.shortage(worst_case, answers)
    }

    /// Returns what the ledger last said of the whole budget: the time of the answer, and the
    /// unallotted tokens and those of open holders then.
    pub fn last_status(&self) -> Option<(Millis, Tokens, Tokens)> {
        let status = self.status.as_ref()?;
        Some((status.at, status.unallotted, status.unspent))
    }

    /// Returns the tokens that can be lent: borrowed ones beyond a second of demand, and three
    /// quarters of the free ones within the exposure. None while a request waits.
    pub fn lendable(&self) -> Loanable {
        if self.demand.waiting() > Tokens::ZERO {
            return Loanable::default();
        }
        let kept = self.demand.expected(NEED_SECONDS);
        let own = Tokens(self.free().0 / 4 * 3);
        Loanable {
            borrowed: self.transferred.saturating_sub(kept),
            own: own.min(self.exposure_left()),
        }
    }

    /// Takes out lent tokens. Borrowed ones were counted as wasted by their first holder; own ones
    /// count as wasted here.
    pub fn lend(&mut self, loan: &Loanable) {
        self.transferred = self.transferred.saturating_sub(loan.borrowed);
        self.wasted += loan.own;
        self.demand.record_lent(loan.own);
    }

    /// Counts tokens spent out of borrowed ones.
    pub fn record_borrowed(&mut self, spent: Tokens) {
        self.demand.record_borrowed(spent);
    }

    /// Ends a reservation of `amount` tokens.
    pub fn settle(&mut self, amount: Tokens, used: Tokens, wasted: Tokens) {
        self.reserved = self.reserved.saturating_sub(amount);
        self.billed += used;
        self.wasted += wasted;
    }

    /// Whether a report is due.
    pub fn is_due(&self, now: Millis, policy: &DrawPolicy) -> bool {
        self.is_due_after(now, 1, policy)
    }

    /// Whether half of the time to the next report is over, so that the allotment joins a report
    /// that another budget causes.
    pub fn is_nearly_due(&self, now: Millis, policy: &DrawPolicy) -> bool {
        self.is_due_after(now, 2, policy)
    }

    /// Updates the rates of spending and of demand.
    pub fn update_rate(&mut self, now: Millis, policy: &DrawPolicy) {
        let spent = self.billed + self.wasted;
        self.rate.update(now, spent, policy.rate_window);
        self.demand.update(now, spent, policy.rate_window);
    }

    /// Returns the report, and gives up the tokens that it returns.
    pub fn report(
        &mut self,
        now: Millis,
        seq: u64,
        budget: &Budget,
        policy: &DrawPolicy,
        fault: Option<Fault>,
    ) -> DrawRow {
        self.return_surplus(now, policy);
        let exposure = self.desired_exposure(now, policy);
        self.exposure_limit = self.exposure_limit.min(exposure);
        self.last_report = Some(SentReport {
            seq,
            at: now,
            exposure,
            wasted: self.wasted,
            answered: false,
        });
        let need = self.used() + self.requested_need();
        let row = DrawRow {
            budget: budget.clone(),
            want: need + self.tokens_ahead(now, policy),
            need,
            returned: self.returned,
            wasted: self.wasted,
            exposure,
            rate: self.demand.rate().per_second(),
        };
        if fault == Some(Fault::KeepReturned) {
            self.returned = Tokens::ZERO;
        }
        row
    }

    /// Returns the need to report: what all waiting requests lack and a second of demand, at most
    /// half of the unallotted tokens, so that it can be granted as a whole and leaves some for
    /// others. At least the largest reservation that failed.
    fn requested_need(&self) -> Tokens {
        if self.need == Tokens::ZERO {
            return Tokens::ZERO;
        }
        let limit = self
            .status
            .as_ref()
            .map_or(Tokens::ZERO, |status| Tokens(status.unallotted.0 / 2));
        self.need.max(self.loan_target().min(limit))
    }

    /// Whether the report interval divided by `divisor` is over, or a report is due for another
    /// reason: a need, a lost answer, an exposure limit that is too low, or a recall.
    fn is_due_after(&self, now: Millis, divisor: u64, policy: &DrawPolicy) -> bool {
        let Some(last) = &self.last_report else {
            return self.need > Tokens::ZERO;
        };
        if !last.answered {
            return now >= last.at + REPORT_TIMEOUT_MILLIS;
        }
        if now < last.at + MIN_REPORT_GAP_MILLIS {
            return false;
        }
        let is_tight = policy.exposure_seconds == 0 && self.peak.doubled() > self.exposure_limit;
        let is_short = self.need > Tokens::ZERO || is_tight;
        let has_idle = self.recalled.min(self.unneeded()) > Tokens::ZERO;
        is_short || has_idle || now >= last.at + Millis(self.interval(now, policy).0 / divisor)
    }

    /// Returns the time between reports, or the maximum if there is nothing to report.
    fn interval(&self, now: Millis, policy: &DrawPolicy) -> Millis {
        let held = self.free() + self.reserved;
        let is_settled = held == Tokens::ZERO && self.wasted == self.acknowledged;
        if is_settled {
            return Millis(u64::MAX);
        }
        let is_low =
            self.free().0 < self.last_free.0 / 2 && self.tokens_ahead(now, policy) > self.free();
        if self.is_scarce() || is_low {
            return policy.scarce_interval;
        }
        policy.interval
    }

    /// Whether few tokens were unallotted at the ledger's last answer.
    fn is_scarce(&self) -> bool {
        self.status.as_ref().is_some_and(|status| {
            let scarce_below = Tokens(self.largest.0.saturating_mul(SCARCE_RESERVATIONS));
            status.unallotted < scarce_below
        })
    }

    /// Whether the holder has all that it holds ahead, and tokens are not scarce.
    fn is_ample(&self, now: Millis, policy: &DrawPolicy) -> bool {
        let held = self.free() + self.reserved;
        !self.is_scarce() && held >= self.tokens_ahead(now, policy)
    }

    /// Returns the tokens to hold beyond the need.
    fn tokens_ahead(&self, now: Millis, policy: &DrawPolicy) -> Tokens {
        if self.is_idle(now) {
            return Tokens::ZERO;
        }
        policy
            .min_ahead
            .max(self.demand.rate().projected(policy.ahead_seconds))
    }

    /// Whether no request has used the budget for [`IDLE_TIMEOUT_MILLIS`].
    fn is_idle(&self, now: Millis) -> bool {
        now >= self.last_used + IDLE_TIMEOUT_MILLIS && self.need == Tokens::ZERO
    }

    /// Returns the free tokens beyond the need.
    fn unneeded(&self) -> Tokens {
        self.free()
            .saturating_sub(self.need.max(self.demand.waiting()))
    }

    /// Gives up recalled tokens or those beyond twice what is held ahead, whichever are more; all
    /// free tokens once idle.
    fn return_surplus(&mut self, now: Millis, policy: &DrawPolicy) {
        let due_back = self.recalled.min(self.unneeded());
        let surplus = match self.is_idle(now) {
            true => self.free(),
            false => self
                .free()
                .saturating_sub(self.tokens_ahead(now, policy) + self.tokens_ahead(now, policy)),
        };
        self.returned += due_back.max(surplus);
        self.recalled = Tokens::ZERO;
    }

    /// Returns the exposure to ask for.
    fn desired_exposure(&mut self, now: Millis, policy: &DrawPolicy) -> Tokens {
        if policy.exposure_seconds > 0 {
            // At most a part of the tokens held, so that the loss of all holders leaves most of a
            // budget. A new holder has none yet: what it asks for first counts as held, as the
            // ledger may be out of reach at the next report.
            let held = (self.free() + self.reserved).max(policy.min_ahead);
            let max_cover = Tokens(held.0 / EXPOSED_DIVISOR);
            // While the rate is not reliable yet, or the budget lasts long, the part alone bounds it.
            let is_unbounded =
                self.rate.is_warming_up(now, policy.rate_window) || self.is_ample(now, policy);
            let cover = match is_unbounded {
                true => max_cover,
                false => max_cover.min(self.exposure_ahead(policy)),
            };
            return self.exposed() + self.requested_need() + cover;
        }
        let desired = self.peak.doubled();
        let steps = desired.0.div_ceil(EXPOSURE_STEP_TOKENS.0).max(1);
        let desired = Tokens(EXPOSURE_STEP_TOKENS.0.saturating_mul(steps));
        desired.max(self.exposed())
    }

    /// Returns the expected spending without a report. Requests that were refused count unless
    /// tokens are scarce: near the end of a budget, a lost holder would freeze what others need.
    fn exposure_ahead(&self, policy: &DrawPolicy) -> Tokens {
        let spending = self.rate.projected(policy.exposure_seconds);
        if self.is_scarce() {
            return spending;
        }
        spending.max(self.demand.rate().projected(policy.exposure_seconds))
    }

    /// Applies the ledger's answer. An answer to an older report can only raise the grant.
    pub fn apply_grant(&mut self, now: Millis, grant: &Grant, fault: Option<Fault>) {
        self.granted = self.granted.max(grant.granted);
        if fault == Some(Fault::LateExposure) {
            self.exposure_limit = grant.exposure;
        }
        let Some(last) = &mut self.last_report else {
            return;
        };
        if grant.seq < last.seq {
            return;
        }
        last.answered = true;
        self.acknowledged = self.acknowledged.max(last.wasted);
        self.exposure_limit = grant.exposure.min(last.exposure);
        self.recalled = grant.recall;
        self.need = Tokens::ZERO;
        self.last_free = self.free();
        self.status = Some(BudgetStatus {
            at: now,
            unallotted: grant.unallotted,
            unspent: grant.spread,
            pending: grant.pending,
        });
    }

    /// Returns the final report. Reservations that are still open remain as its exposure.
    pub fn final_report(&mut self, budget: &Budget) -> DrawRow {
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
    /// Records an exposure that a reservation needed.
    fn record(&mut self, now: Millis, exposed: Tokens) {
        if now >= self.window_start + PEAK_WINDOW_MILLIS {
            self.window_start = now;
            self.previous = self.current;
            self.current = Tokens::ZERO;
        }
        self.current = self.current.max(exposed);
    }

    /// Returns twice the largest exposure.
    fn doubled(&self) -> Tokens {
        let peak = self.previous.max(self.current);
        peak + peak
    }
}
