//! Token bucket for whole requests at a rate that may change.

use crate::unit::Millis;
use crate::unit::RequestRate;

/// Parts of a request that a thousandth of a request per second adds in a millisecond: one.
const PARTS: u64 = 1_000_000;

/// Requests that may be sent now. It starts empty, so that one that takes the place of another adds
/// no burst.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Content, in millionths of a request.
    level: u64,
    /// Time up to which `level` includes what time adds.
    updated: Millis,
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn new(now: Millis) -> Self {
        Self {
            level: 0,
            updated: now,
        }
    }

    /// Adds what the time since the last update allows at this rate, up to a capacity of `least`
    /// requests or those of the time `burst`, if they are more.
    pub fn refill(&mut self, now: Millis, rate: RequestRate, least: u64, burst: Millis) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        let capacity = rate.0.saturating_mul(burst.0).max(least * PARTS);
        let added = rate.0.saturating_mul(elapsed.0);
        self.level = self.level.saturating_add(added).min(capacity);
    }

    /// Returns the number of whole requests in the bucket.
    pub fn available(&self) -> u64 {
        self.level / PARTS
    }

    /// Takes up to `wanted` requests and returns how many.
    pub fn take(&mut self, wanted: u64) -> u64 {
        let taken = wanted.min(self.available());
        self.level -= taken * PARTS;
        taken
    }

    /// Returns the time until the bucket would hold `count` requests, whatever its capacity.
    pub fn time_until(&self, count: u64, rate: RequestRate) -> Millis {
        let lacking = count.saturating_mul(PARTS).saturating_sub(self.level);
        Millis(lacking.div_ceil(rate.0.max(1)))
    }
}
