//! Timeouts of one streamed answer: until the first token, between tokens, for the whole.

use crate::unit::Millis;

/// Which timeout an answer exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Late {
    /// No first token in time.
    #[error("no first token in time")]
    First,
    /// No further token in time.
    #[error("no further token in time")]
    Between,
    /// Not whole in time.
    #[error("the answer was not whole in time")]
    Whole,
}

/// Longest waits of an answer, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// Until the first token.
    pub first: Millis,
    /// Between tokens.
    pub between: Millis,
    /// Until the whole answer.
    pub whole: Millis,
}

/// Progress of one attempt's answer, by the router's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    patience: Patience,
    started: Millis,
    last: Option<Millis>,
}

impl Progress {
    /// The request was sent at `now`.
    pub fn started(now: Millis, patience: Patience) -> Self {
        Self {
            patience,
            started: now,
            last: None,
        }
    }

    /// A token arrived.
    pub fn token(&mut self, now: Millis) {
        self.last = Some(now);
    }

    /// Whether a timeout is exceeded.
    pub fn late(&self, now: Millis) -> Option<Late> {
        if now >= self.started + self.patience.whole {
            return Some(Late::Whole);
        }
        if now < self.due() {
            return None;
        }
        match self.last {
            None => Some(Late::First),
            Some(_) => Some(Late::Between),
        }
    }

    /// Earliest time at which [`Progress::late`] can become true without another token.
    pub fn due(&self) -> Millis {
        let step = match self.last {
            None => self.started + self.patience.first,
            Some(last) => last + self.patience.between,
        };
        step.min(self.started + self.patience.whole)
    }
}
