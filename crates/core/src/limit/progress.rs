//! Timeouts of one streamed answer: first token, gap between tokens, whole answer.

use crate::unit::Millis;

/// The timeout that an answer exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TimeoutKind {
    /// The first token did not arrive in time.
    #[error("the first token did not arrive in time")]
    FirstToken,
    /// The gap after the last token grew too long.
    #[error("the next token did not arrive in time")]
    TokenGap,
    /// The answer was not complete in time.
    #[error("the answer was not complete in time")]
    WholeAnswer,
}

/// Timeouts of an answer, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// From sending the request to the first token.
    pub first_token: Millis,
    /// From one token to the next.
    pub token_gap: Millis,
    /// From sending the request to the end of the answer.
    pub whole_answer: Millis,
}

/// Progress of one attempt's answer, by the router's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    timeouts: Timeouts,
    /// When the request was sent.
    sent: Millis,
    /// When the last token arrived.
    last_token: Option<Millis>,
}

impl Progress {
    /// Starts the timeouts of a request that is sent at `now`.
    pub fn new(now: Millis, timeouts: Timeouts) -> Self {
        Self {
            timeouts,
            sent: now,
            last_token: None,
        }
    }

    /// Records the arrival of a token.
    pub fn token(&mut self, now: Millis) {
        self.last_token = Some(now);
    }

    /// Returns the timeout that is exceeded, if any.
    pub fn exceeded(&self, now: Millis) -> Option<TimeoutKind> {
        if now >= self.sent + self.timeouts.whole_answer {
            return Some(TimeoutKind::WholeAnswer);
        }
        if now < self.next_timeout() {
            return None;
        }
        match self.last_token {
            None => Some(TimeoutKind::FirstToken),
            Some(_) => Some(TimeoutKind::TokenGap),
        }
    }

    /// Returns the time at which a timeout is exceeded if no further token arrives.
    pub fn next_timeout(&self) -> Millis {
        let next = match self.last_token {
            None => self.sent + self.timeouts.first_token,
            Some(last) => last + self.timeouts.token_gap,
        };
        next.min(self.sent + self.timeouts.whole_answer)
    }
}
