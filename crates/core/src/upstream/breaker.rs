//! Circuit breaker of one upstream: ejects it after faults, and backs off after an overload
//! refusal.

use crate::unit::Millis;

use super::config::TableConfig;

/// Circuit breaker that one router keeps for one upstream.
///
/// Faults and timeouts add points and successes remove them; at the limit the breaker opens. A
/// refusal for overload adds no points: the upstream only counts as full for a while.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    /// Points of faults and timeouts less those of successes.
    score: u32,
    /// How often the time of the next ejection is doubled; back to 0 once `score` is 0.
    doublings: u32,
    /// When the last ejection ends; `None` while the breaker is closed.
    open_until: Option<Millis>,
    /// Until when the upstream counts as full after the last overload refusal.
    backoff_until: Millis,
}

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// All requests pass.
    Closed,
    /// The ejection has ended; a single attempt or probe may test the upstream.
    HalfOpen,
    /// The upstream is ejected until this time, by the router's clock.
    Open(Millis),
}

/// Points of one connection fault. A timeout weighs half: a slow upstream still gives answers that
/// make up for it, a stuck one does not.
const FAULT_POINTS: u32 = 2;
/// Points of one answer that did not come in time.
const TIMEOUT_POINTS: u32 = 1;
/// Points that one success removes.
const SUCCESS_POINTS: u32 = 1;
/// Maximum value of `doublings`: an ejection lasts at most 32 times the base time.
const MAX_DOUBLINGS: u32 = 5;

impl Breaker {
    /// Records a connection fault. Returns whether it ejects the upstream.
    pub fn record_fault(&mut self, now: Millis, config: &TableConfig) -> bool {
        self.add_points(now, FAULT_POINTS, config)
    }

    /// Records an answer that did not come in time. Returns whether it ejects the upstream.
    pub fn record_timeout(&mut self, now: Millis, config: &TableConfig) -> bool {
        self.add_points(now, TIMEOUT_POINTS, config)
    }

    /// Adds points and opens the breaker at the limit, or at once while it is half-open. Each
    /// consecutive ejection lasts twice as long as the one before, up to [`MAX_DOUBLINGS`].
    fn add_points(&mut self, now: Millis, points: u32, config: &TableConfig) -> bool {
        let trial = self.state(now) == State::HalfOpen;
        self.score = self.score.saturating_add(points);
        let limit = config.fault_limit.saturating_mul(FAULT_POINTS);
        if !trial && self.score < limit {
            return false;
        }
        let span = config.base_ejection.0.saturating_mul(1 << self.doublings);
        self.open_until = Some(now + Millis(span));
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.score = limit;
        true
    }

    /// Records a success; in the half-open state it closes the breaker.
    pub fn record_success(&mut self, now: Millis) {
        self.score = self.score.saturating_sub(SUCCESS_POINTS);
        if self.open_until.is_some_and(|until| until <= now) {
            self.open_until = None;
            self.score = 0;
        }
        if self.score == 0 {
            self.doublings = 0;
        }
    }

    /// Records a refusal for overload, after which the upstream counts as full for a while.
    pub fn record_overload(&mut self, now: Millis, config: &TableConfig) {
        self.backoff_until = now + config.overload_backoff;
    }

    /// Returns whether the upstream counts as full after a refusal for overload.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Returns the state at the time `now`.
    pub fn state(&self, now: Millis) -> State {
        match self.open_until {
            None => State::Closed,
            Some(until) if until <= now => State::HalfOpen,
            Some(until) => State::Open(until),
        }
    }
}
