//! One router's share of the rate of an upstream.

use crate::unit::Millis;
use crate::unit::RequestRate;

use super::bucket::Bucket;

/// Time after the request for it in which a share has to be used.
const SHARE_TTL: Millis = Millis(500);
/// Time after which the owner counts as silent if it has not answered.
const ANSWER_TIMEOUT: Millis = Millis(100);
/// Time after a request that was not answered until the next one.
const SILENT_PAUSE: Millis = Millis(500);
/// Part of its even share that a router uses while the owner is silent: half of it, since the owner
/// may grant the whole rate to others meanwhile.
const SILENT_DIVISOR: u64 = 2;
/// Time for which other requests yield to one of a higher priority that found no room.
const YIELD_TIME: Millis = Millis(1_000);
/// Bounds of the time after which a caller that was turned away may return.
const MIN_RETURN: Millis = Millis(25);
const MAX_RETURN: Millis = Millis(5_000);

/// Requests that this router may send to an upstream, and its requests to the owner for more.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// Granted requests that may be sent until `expiry`.
    tokens: u64,
    expiry: Millis,
    /// Requests for the upstream since the last request to the owner.
    wanted: u64,
    /// Highest priority of them.
    priority: u8,
    /// Priority of the request that others yield to, and when it found no room.
    urgent: Option<(u8, Millis)>,
    /// Number of the last request to the owner.
    number: u64,
    /// When that request was sent; none if it was answered.
    pending: Option<Millis>,
    /// When the request before was sent.
    asked_at: Millis,
    /// When the owner may be asked again.
    next_ask: Millis,
    /// Time between two requests that the owner expects this router to be granted.
    interval: Millis,
    /// Whether the last request to the owner was not answered in time.
    silent: bool,
    /// Requests that may be sent while the owner is silent.
    fallback: Bucket,
    /// When the next caller that is turned away may return.
    next_return: Millis,
}

/// State of a share, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareStatus {
    /// Granted requests that are left.
    pub granted: u64,
    /// Time until the owner may be asked again.
    pub wait: Millis,
    /// Whether the owner did not answer the last request in time.
    pub silent: bool,
}

/// What a router asks the owner for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Wanted {
    /// Number of the request; the answer repeats it.
    pub number: u64,
    /// Requests that it could send.
    pub count: u64,
    /// Highest priority of them.
    pub priority: u8,
}

impl Share {
    /// Returns an empty share. The owner may be asked at once.
    pub fn new(now: Millis) -> Self {
        Self {
            tokens: 0,
            expiry: now,
            wanted: 0,
            priority: 0,
            urgent: None,
            number: 0,
            pending: None,
            asked_at: now,
            next_ask: now,
            interval: MIN_RETURN,
            silent: false,
            fallback: Bucket::new(now),
            next_return: now,
        }
    }

    /// Advances the time. `routers` is the number of known routers, live or not, which share the rate
    /// evenly while the owner is silent.
    pub fn refill(&mut self, now: Millis, rate: RequestRate, routers: usize) {
        if self.pending.is_some_and(|at| now >= at + ANSWER_TIMEOUT) {
            if !self.silent {
                // Nothing was saved up, as all routers may lose the owner at the same time.
                self.fallback = Bucket::new(now);
            }
            self.pending = None;
            self.silent = true;
            self.next_ask = now + SILENT_PAUSE;
        }
        if self.silent {
            let part = routers.max(1) as u64 * SILENT_DIVISOR;
            let even = RequestRate(rate.0 / part);
            self.fallback.refill(now, even, 1, Millis::ZERO);
            self.interval = self.fallback.time_until(1, even);
        }
    }

    /// Returns whether a request of this priority may be sent now.
    pub fn has_room(&self, now: Millis, priority: u8) -> bool {
        let urgent = self.urgent.filter(|(_, at)| now < *at + YIELD_TIME);
        let yields = urgent.is_some_and(|(urgent, _)| urgent > priority);
        !yields && (self.is_granted(now) || self.silent && self.fallback.available() > 0)
    }

    /// Returns whether a granted request is left.
    fn is_granted(&self, now: Millis) -> bool {
        self.tokens > 0 && now < self.expiry
    }

    /// Counts a request of this priority that is sent now.
    pub fn take(&mut self, now: Millis, priority: u8) {
        if self.urgent.is_some_and(|(urgent, _)| urgent <= priority) {
            self.urgent = None;
        }
        match self.is_granted(now) {
            true => self.tokens -= 1,
            false => {
                self.fallback.take(1);
            }
        }
    }

    /// Counts a request that would be sent if there were room. Returns whether an answer of the
    /// owner is worth a wait: one is on its way, or the owner may be asked.
    pub fn want(&mut self, now: Millis, priority: u8) -> bool {
        self.wanted += 1;
        self.priority = self.priority.max(priority);
        let urgent = self.urgent.filter(|(_, at)| now < *at + YIELD_TIME);
        if urgent.is_none_or(|(urgent, _)| urgent <= priority) {
            self.urgent = Some((priority, now));
        }
        self.pending.is_some() || self.may_ask(now)
    }

    /// Returns whether the owner may be asked.
    fn may_ask(&self, now: Millis) -> bool {
        self.pending.is_none() && now >= self.next_ask && !self.is_granted(now)
    }

    /// Returns what this router may send, and when it may ask for more.
    pub fn status(&self, now: Millis) -> ShareStatus {
        ShareStatus {
            granted: match self.is_granted(now) {
                true => self.tokens,
                false => 0,
            },
            wait: self.next_ask.saturating_sub(now),
            silent: self.silent,
        }
    }

    /// Returns whether a request to the owner is unanswered.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Starts a request to the owner, unless one is unanswered or it is too early.
    pub fn ask(&mut self, now: Millis) -> Option<Wanted> {
        if !self.may_ask(now) {
            return None;
        }
        // What is not used in time is lost, so no more than the recent demand is asked for.
        let elapsed = now.saturating_sub(self.asked_at).0.max(SHARE_TTL.0);
        let count = (self.wanted * SHARE_TTL.0 / elapsed).max(1);
        let priority = self.priority;
        self.number += 1;
        self.pending = Some(now);
        self.asked_at = now;
        self.wanted = 0;
        self.priority = 0;
        Some(Wanted {
            number: self.number,
            count,
            priority,
        })
    }

    /// Applies the owner's answer. One that is late is void, since this router may have been
    /// suspended meanwhile.
    pub fn grant(&mut self, now: Millis, number: u64, tokens: u64, wait: Millis) {
        let Some(at) = self.pending.filter(|_| number == self.number) else {
            return;
        };
        self.pending = None;
        self.silent = false;
        self.next_ask = now + wait;
        self.interval = wait;
        if now < at + SHARE_TTL {
            self.tokens = tokens;
            self.expiry = at + SHARE_TTL;
        }
    }

    /// Returns the earliest time at which a caller that is turned away now may return.
    pub fn next_return(&self, now: Millis) -> Millis {
        self.next_return.max(self.next_ask).max(now + MIN_RETURN)
    }

    /// Turns a caller away. Returns when it may return: each a little later than the one before, so
    /// that they find room. `jitter`, in thousandths, keeps those of different routers apart.
    pub fn turn_away(&mut self, now: Millis, jitter: u64) -> Millis {
        let slot = self.next_return(now);
        let latest = now + MAX_RETURN;
        self.next_return = (slot + self.interval).min(latest);
        let delay = Millis(self.interval.0.saturating_mul(jitter) / 1_000);
        (slot + delay).min(latest)
    }
}
