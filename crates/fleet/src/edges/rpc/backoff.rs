//! Exponential backoff with full jitter. The jitter keeps clients from resending all at once when a
//! broken link recovers.

use std::time::Duration;

use crate::timer::jitter;

/// Delays between the resends of one call.
#[derive(Debug)]
pub struct Backoff {
    /// Bound on the next delay.
    next: Duration,
    /// Bound on every delay.
    max: Duration,
}

impl Backoff {
    /// Creates delays whose bound doubles from `min` up to `max`. Each delay is drawn at random
    /// between zero and its bound.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { next: min, max }
    }

    /// Returns the delay before the next resend and doubles the bound.
    pub fn next_delay(&mut self) -> Duration {
        let delay = jitter(self.next);
        self.next = self.max.min(self.next * 2);
        delay
    }
}
