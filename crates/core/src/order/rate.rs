//! The weight store's rate as one fleet-wide allowance, split like a budget.

use crate::unit::Millis;

/// One data centre's part of the weight store's rate: a token bucket in bytes.
#[derive(Clone, Copy, Debug)]
pub struct RateShare {
    rate: u64,
    burst: u64,
    saved: u64,
    last: Millis,
}

impl RateShare {
    /// An empty bucket: a process that restarts often takes no more than its part.
    pub fn new(now: Millis, rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            saved: 0,
            last: now,
        }
    }

    /// Takes leave to read `bytes` from the store. Returns whether there is enough.
    pub fn take(&mut self, now: Millis, bytes: u64) -> bool {
        let span = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        let earned = span.0.saturating_mul(self.rate) / 1_000;
        self.saved = self.saved.saturating_add(earned).min(self.burst);
        if self.saved < bytes {
            return false;
        }
        self.saved -= bytes;
        true
    }
}
