//! Retry budget: a token bucket that first attempts fill and retries empty.

use crate::unit::Millis;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryRules {
    /// Retries earned by each first attempt, in thousandths.
    pub per_attempt: u32,
    /// Capacity of the bucket, in retries.
    pub burst: u32,
    /// Retries earned each second regardless of traffic, in thousandths.
    pub per_second: u32,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            per_attempt: 100,
            burst: 10,
            per_second: 100,
        }
    }
}

/// Bounds the retries of one router to a fraction of its first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    rules: RetryRules,
    /// Content of the bucket, in millionths of a retry.
    balance: u64,
    /// Time up to which the balance includes what time earns.
    updated: Millis,
}

const MILLIONTHS_PER_RETRY: u64 = 1_000_000;
const MILLIONTHS_PER_THOUSANDTH: u64 = 1_000;

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryRules::default())
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(rules: RetryRules) -> Self {
        Self {
            rules,
            balance: u64::from(rules.burst) * MILLIONTHS_PER_RETRY,
            updated: Millis::ZERO,
        }
    }

    /// Adds what a first attempt earns.
    pub fn record_first(&mut self, now: Millis) {
        self.refill(now);
        self.earn(u64::from(self.rules.per_attempt) * MILLIONTHS_PER_THOUSANDTH);
    }

    /// Takes one retry from the budget. Returns whether one was left.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.balance < MILLIONTHS_PER_RETRY {
            return false;
        }
        self.balance -= MILLIONTHS_PER_RETRY;
        true
    }

    /// Number of whole retries left.
    pub fn remaining(&self) -> u32 {
        u32::try_from(self.balance / MILLIONTHS_PER_RETRY).unwrap_or(u32::MAX)
    }

    /// Adds what the time since the last update earned. A thousandth of a retry per second is a
    /// millionth per millisecond.
    fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        self.earn(elapsed.0.saturating_mul(u64::from(self.rules.per_second)));
    }

    /// Adds millionths of a retry, up to the capacity.
    fn earn(&mut self, amount: u64) {
        let capacity = u64::from(self.rules.burst) * MILLIONTHS_PER_RETRY;
        self.balance = self.balance.saturating_add(amount).min(capacity);
    }
}
