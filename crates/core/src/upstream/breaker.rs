//! Ejection of an upstream whose connections fail, and the pause after a refusal for overload.

use crate::unit::Millis;

use super::config::TableConfig;

/// Local record of one upstream's faults. Overload is kept apart: it pauses, and ejects nothing.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    score: u32,
    doublings: u32,
    open_until: Option<Millis>,
    paused_until: Millis,
}

/// Whether a breaker lets work pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// It does.
    Closed,
    /// One attempt or one question may try it.
    HalfOpen,
    /// It does not before the given time.
    Open(Millis),
}

const FAULT_POINTS: u32 = 2;
const TIMEOUT_POINTS: u32 = 1;
const SUCCESS_POINTS: u32 = 1;
const MAX_DOUBLINGS: u32 = 5;

impl Breaker {
    /// Counts a connection fault. Returns whether it ejects the upstream.
    pub fn record_fault(&mut self, now: Millis, config: &TableConfig) -> bool {
        self.add_points(now, FAULT_POINTS, config)
    }

    /// Counts a missing answer. It weighs half of a fault: a slow upstream still gives answers that
    /// make up for it, a stuck one does not.
    pub fn record_timeout(&mut self, now: Millis, config: &TableConfig) -> bool {
        self.add_points(now, TIMEOUT_POINTS, config)
    }

    fn add_points(&mut self, now: Millis, points: u32, config: &TableConfig) -> bool {
        let trial = self.state(now) == BreakerState::HalfOpen;
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

    /// Counts a success; one that ends a trial lets all work pass again.
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

    /// Counts a refusal for overload.
    pub fn record_overload(&mut self, now: Millis, config: &TableConfig) {
        self.paused_until = now + config.overload_pause;
    }

    /// Whether the upstream lately refused for overload.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Whether work may pass.
    pub fn state(&self, now: Millis) -> BreakerState {
        match self.open_until {
            None => BreakerState::Closed,
            Some(until) if until <= now => BreakerState::HalfOpen,
            Some(until) => BreakerState::Open(until),
        }
    }
}
