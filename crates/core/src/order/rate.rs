//! Rate limit of the weight store: one fleet-wide rate, split evenly among the data centres.
//!
//! Only the lease holder of a data centre uses its part. A new holder starts with an empty bucket,
//! so that a change of holder never adds to the total.

use crate::unit::Millis;

/// One data centre's part of the weight store's rate: a token bucket of bytes.
#[derive(Clone, Copy, Debug)]
pub struct RateShare {
    /// Refill rate, in bytes per second.
    rate: u64,
    /// Capacity of the bucket, in bytes.
    burst: u64,
    /// Content of the bucket, in thousandths of a byte.
    balance: u64,
    /// Time up to which the balance is refilled.
    updated: Millis,
}

const THOUSANDTHS_PER_BYTE: u64 = 1_000;

impl RateShare {
    /// Creates the empty bucket of one of `centres` data centres, which fills from `now` on.
    ///
    /// `rate` is that of the whole fleet, in bytes per second. `burst` is the capacity of the
    /// bucket in bytes; it has to be at least the size of the largest model.
    pub fn new(now: Millis, rate: u64, centres: u32, burst: u64) -> Self {
        Self {
            rate: rate / u64::from(centres.max(1)),
            burst,
            balance: 0,
            updated: now,
        }
    }

    /// Takes `bytes` from the bucket. Returns whether it held enough.
    pub fn take(&mut self, now: Millis, bytes: u64) -> bool {
        self.refill(now);
        let amount = bytes.saturating_mul(THOUSANDTHS_PER_BYTE);
        if self.balance < amount {
            return false;
        }
        self.balance -= amount;
        true
    }

    /// Returns the time from the last call of [`Self::take`] until `bytes` may be taken, or `None`
    /// if they never may.
    pub fn wait(&self, bytes: u64) -> Option<Millis> {
        if bytes > self.burst || self.rate == 0 {
            return None;
        }
        let missing = bytes
            .saturating_mul(THOUSANDTHS_PER_BYTE)
            .saturating_sub(self.balance);
        Some(Millis(missing.div_ceil(self.rate)))
    }

    /// Adds what the time since the last update earned. A byte per second is a thousandth of a byte
    /// per millisecond.
    fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        let earned = elapsed.0.saturating_mul(self.rate);
        let capacity = self.burst.saturating_mul(THOUSANDTHS_PER_BYTE);
        self.balance = self.balance.saturating_add(earned).min(capacity);
    }
}
