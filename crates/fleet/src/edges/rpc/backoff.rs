//! Growing pauses between resends, with jitter, so that a healed link brings no burst.

use std::time::Duration;

use crate::timer::jitter;

/// Pauses between resends of one call.
#[derive(Debug)]
pub struct Backoff {
    next: Duration,
    most: Duration,
}

impl Backoff {
    /// Pauses that double from `first` to `most`; each is drawn between nothing and its bound.
    pub fn new(first: Duration, most: Duration) -> Self {
        Self { next: first, most }
    }

    /// The next pause.
    pub fn pause(&mut self) -> Duration {
        let pause = jitter(self.next);
        self.next = self.most.min(self.next * 2);
        pause
    }
}
