//! Pause that one upstream asked one router for.

use crate::unit::Millis;

/// Longest pause that is kept. An upstream that asks for more is tried once after it.
pub const MAX_PAUSE: Millis = Millis(600_000);

/// Pause of one incarnation of an upstream at one router, and the time after it in which its answers
/// have yet to show that it takes requests again.
#[derive(Clone, Debug, Default)]
pub struct Pause {
    /// When the pause ends; zero if the upstream never asked for one.
    until: Millis,
    /// When the answer arrived that asked for it.
    asked_at: Millis,
    /// Whether no request that was sent since then has been answered.
    unproven: bool,
    /// Number of attempts in flight that were sent since then.
    trials: u32,
}

impl Pause {
    /// Applies an answer that asks for a pause of `length`, to a request that was sent at `sent`.
    ///
    /// If the request was sent after the last such answer arrived, the new end holds. Otherwise the
    /// order of the two answers is not known, and the later end holds.
    pub fn ask(&mut self, now: Millis, sent: Millis, length: Millis) {
        let until = now + length.min(MAX_PAUSE);
        let is_newer = sent > self.asked_at;
        self.until = match is_newer {
            true => until,
            false => self.until.max(until),
        };
        self.asked_at = now;
        self.unproven = true;
    }

    /// Returns when the pause ends, if it has not ended.
    pub fn active_until(&self, now: Millis) -> Option<Millis> {
        (now < self.until).then_some(self.until)
    }

    /// Returns when the answer arrived that asked for the last pause.
    pub fn asked_at(&self) -> Millis {
        self.asked_at
    }

    /// Returns whether the pause has ended, and one attempt in flight has yet to show that the
    /// upstream takes requests again.
    pub fn is_tried(&self) -> bool {
        self.unproven && self.trials > 0
    }

    /// Records that an attempt begins. Returns whether it is one that ends by [`Pause::end_trial`].
    pub fn begin_attempt(&mut self) -> bool {
        self.trials += u32::from(self.unproven);
        self.unproven
    }

    /// Records the end of an attempt for which [`Pause::begin_attempt`] returned true.
    pub fn end_trial(&mut self) {
        self.trials = self.trials.saturating_sub(1);
    }

    /// Records that the upstream took a request that was sent at `sent`.
    pub fn record_taken(&mut self, sent: Millis) {
        if sent >= self.until {
            self.unproven = false;
        }
    }
}
