//! Ejection of an upstream whose connections fail, and the pause after a refusal for overload.

use crate::unit::Millis;

use super::rules::Rules;

/// Local record of one upstream's faults. Overload is kept apart: it pauses, and ejects nothing.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    score: u32,
    level: u32,
    until: Option<Millis>,
    pause: Millis,
}

/// Whether a breaker lets work pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gateway {
    /// It does.
    Open,
    /// One attempt or one question may try it.
    Trial,
    /// It does not before the given time.
    Ejected(Millis),
}

const FAULT_POINTS: u32 = 2;
const LATE_POINTS: u32 = 1;
const SUCCESS_POINTS: u32 = 1;
const MOST_LEVELS: u32 = 5;

impl Breaker {
    /// Counts a connection fault. Returns whether it ejects the upstream.
    pub fn fault(&mut self, now: Millis, rules: &Rules) -> bool {
        self.count(now, FAULT_POINTS, rules)
    }

    /// Counts a missing answer. It weighs half of a fault: a slow upstream still gives answers that
    /// make up for it, a stuck one does not.
    pub fn late(&mut self, now: Millis, rules: &Rules) -> bool {
        self.count(now, LATE_POINTS, rules)
    }

    fn count(&mut self, now: Millis, points: u32, rules: &Rules) -> bool {
        let trial = self.gateway(now) == Gateway::Trial;
        self.score = self.score.saturating_add(points);
        let limit = rules.faults.saturating_mul(FAULT_POINTS);
        if !trial && self.score < limit {
            return false;
        }
        let span = rules.ejection.0.saturating_mul(1 << self.level);
        self.until = Some(now + Millis(span));
        self.level = (self.level + 1).min(MOST_LEVELS);
        self.score = limit;
        true
    }

    /// Counts a success; one that ends a trial lets all work pass again.
    pub fn success(&mut self, now: Millis) {
        self.score = self.score.saturating_sub(SUCCESS_POINTS);
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.score = 0;
        }
        if self.score == 0 {
            self.level = 0;
        }
    }

    /// Counts a refusal for overload.
    pub fn overload(&mut self, now: Millis, rules: &Rules) {
        self.pause = now + rules.pause;
    }

    /// Whether the upstream lately refused for overload.
    pub fn paused(&self, now: Millis) -> bool {
        now < self.pause
    }

    /// Whether work may pass.
    pub fn gateway(&self, now: Millis) -> Gateway {
        match self.until {
            None => Gateway::Open,
            Some(until) if until <= now => Gateway::Trial,
            Some(until) => Gateway::Ejected(until),
        }
    }
}
