//! The weight store's rate as one fleet-wide allowance, split like a budget.
//!
//! Each data centre has a fixed part, and only its order giver draws on it. A new giver starts with
//! an empty bucket, so a hand-over between givers never adds to the sum.

use crate::unit::Millis;

/// One data centre's part of the weight store's rate: a token bucket in bytes.
#[derive(Clone, Copy, Debug)]
pub struct RateShare {
    rate: u64,
    burst: u64,
    saved: u64,
    last: Millis,
}

const PARTS: u64 = 1_000;

impl RateShare {
    /// The part of one of `centres` data centres, from the time it was taken over.
    ///
    /// `rate` is the whole fleet's, in bytes a second; `burst` is the most bytes saved up in one
    /// data centre, and has to hold the largest model.
    pub fn new(now: Millis, rate: u64, centres: u32, burst: u64) -> Self {
        Self {
            rate: rate / u64::from(centres.max(1)),
            burst,
            saved: 0,
            last: now,
        }
    }

    /// Takes leave to read `bytes` from the store. Returns whether there is enough.
    pub fn take(&mut self, now: Millis, bytes: u64) -> bool {
        self.pass(now);
        let parts = bytes.saturating_mul(PARTS);
        if self.saved < parts {
            return false;
        }
        self.saved -= parts;
        true
    }

    /// How long to wait until `bytes` may be read; `None` if they never may.
    pub fn wait(&self, bytes: u64) -> Option<Millis> {
        if bytes > self.burst || self.rate == 0 {
            return None;
        }
        let missing = bytes.saturating_mul(PARTS).saturating_sub(self.saved);
        Some(Millis(missing.div_ceil(self.rate)))
    }

    /// A byte a second is a thousandth of a byte a millisecond.
    fn pass(&mut self, now: Millis) {
        let span = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        let earned = span.0.saturating_mul(self.rate);
        let most = self.burst.saturating_mul(PARTS);
        self.saved = self.saved.saturating_add(earned).min(most);
    }
}
