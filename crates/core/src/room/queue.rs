//! Virtual queue of one direction of a link.

use crate::unit::Millis;

/// A queue that fills with the bytes that pass a link, and drains at a rate below the link's. It
/// grows while the link carries more than that rate, before packets queue at the link itself.
#[derive(Debug)]
pub struct VirtualQueue {
    /// Drain rate, in bytes a second.
    rate: u64,
    /// Length at `updated`, in thousandths of a byte.
    length: u64,
    updated: Millis,
}

/// Bound on the length, so that a router takes requests again soon after the load has gone.
const MAX_LENGTH: Millis = Millis(400);

impl VirtualQueue {
    /// Creates an empty queue that drains at `rate` bytes a second.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: rate.max(1),
            length: 0,
            updated: Millis::ZERO,
        }
    }

    /// Drains the queue up to `now` and adds bytes.
    pub fn add(&mut self, now: Millis, bytes: u64) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        // Bytes a second times milliseconds are thousandths of a byte.
        let drained = self.rate.saturating_mul(elapsed.0);
        let left = self.length.saturating_sub(drained);
        let most = self.rate.saturating_mul(MAX_LENGTH.0);
        self.length = left.saturating_add(bytes.saturating_mul(1_000)).min(most);
    }

    /// Removes bytes, as far as they are still queued.
    pub fn remove(&mut self, bytes: u64) {
        self.length = self.length.saturating_sub(bytes.saturating_mul(1_000));
    }

    /// Returns the length in bytes.
    pub fn bytes(&self) -> u64 {
        self.length / 1_000
    }

    /// Returns the time to drain what is queued and `pending` bytes more.
    pub fn delay(&self, pending: u64) -> Millis {
        let length = self.length.saturating_add(pending.saturating_mul(1_000));
        Millis(length / self.rate)
    }
}
