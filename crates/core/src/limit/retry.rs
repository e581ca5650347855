//! The retry budget: a token bucket that first attempts fill and retries empty.

use crate::unit::Millis;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryRules {
    /// Retries earned by a first attempt, in thousandths.
    pub share: u32,
    /// Most retries saved up.
    pub burst: u32,
    /// Retries earned by the passing of a second without traffic, in thousandths.
    pub trickle: u32,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            share: 100,
            burst: 10,
            trickle: 100,
        }
    }
}

/// Bounds the retries of one router to a share of its first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    rules: RetryRules,
    saved: u64,
    last: Millis,
}

const RETRY_MILLIONTHS: u64 = 1_000_000;
const THOUSANDTH_MILLIONTHS: u64 = 1_000;

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryRules::default())
    }
}

impl RetryBudget {
    /// A full budget.
    pub fn new(rules: RetryRules) -> Self {
        Self {
            rules,
            saved: u64::from(rules.burst) * RETRY_MILLIONTHS,
            last: Millis::ZERO,
        }
    }

    /// Counts a first attempt.
    pub fn first(&mut self, now: Millis) {
        self.pass(now);
        self.earn(u64::from(self.rules.share) * THOUSANDTH_MILLIONTHS);
    }

    /// Takes a retry from the budget. Returns whether there was one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.pass(now);
        if self.saved < RETRY_MILLIONTHS {
            return false;
        }
        self.saved -= RETRY_MILLIONTHS;
        true
    }

    /// Retries left.
    pub fn left(&self) -> u32 {
        u32::try_from(self.saved / RETRY_MILLIONTHS).unwrap_or(u32::MAX)
    }

    fn pass(&mut self, now: Millis) {
        let span = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        self.earn(span.0.saturating_mul(u64::from(self.rules.trickle)));
    }

    fn earn(&mut self, amount: u64) {
        let most = u64::from(self.rules.burst) * RETRY_MILLIONTHS;
        self.saved = self.saved.saturating_add(amount).min(most);
    }
}
