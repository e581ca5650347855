//! Sliding-window retry limit that holds over all routers together.

use std::collections::VecDeque;

use crate::unit::Millis;

/// Settings of a [`RetryWindow`]. In any window, all routers together may send as retries
/// `per_attempt` times their first attempts, plus `allowance`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowRules {
    /// Retries allowed for each first attempt, in thousandths.
    pub per_attempt: u32,
    /// Retries allowed regardless of traffic, shared evenly by the routers.
    pub allowance: u32,
    /// Length of the window.
    pub window: Millis,
}

/// One router's part of the limit, with the attempts that it counted.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    rules: WindowRules,
    /// Buckets with attempts, oldest first.
    buckets: VecDeque<Bucket>,
}

/// Attempts counted in one part of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    first_attempts: u64,
    retries: u64,
}

/// Buckets in a window. The oldest is dropped only when all of it lies outside the window.
const BUCKETS_PER_WINDOW: u64 = 20;

/// Part of the limit that is used, as the known number of routers lags behind the real one.
const USABLE_PERCENT: u64 = 75;

impl RetryWindow {
    /// Creates a window without any attempts.
    pub fn new(rules: WindowRules) -> Self {
        Self {
            rules,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Millis) {
        self.bucket(now).first_attempts += 1;
    }

    /// Counts a retry if this router's part among `routers` allows one. Returns whether it does.
    pub fn take(&mut self, now: Millis, routers: usize) -> bool {
        if self.remaining(now, routers) == 0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns the number of retries that this router's part among `routers` still allows now.
    pub fn remaining(&mut self, now: Millis, routers: usize) -> u64 {
        self.expire(now);
        let first_attempts: u64 = self.buckets.iter().map(|one| one.first_attempts).sum();
        let retries: u64 = self.buckets.iter().map(|one| one.retries).sum();
        let earned = first_attempts * u64::from(self.rules.per_attempt) / 1_000;
        let allowance = u64::from(self.rules.allowance) / routers.max(1) as u64;
        let limit = (earned + allowance) * USABLE_PERCENT / 100;
        limit.saturating_sub(retries)
    }

    /// Drops the buckets that lie wholly outside the window.
    fn expire(&mut self, now: Millis) {
        let window = self.rules.window;
        let span = self.bucket_span();
        while let Some(bucket) = self.buckets.front() {
            if now < bucket.start + window + span {
                return;
            }
            self.buckets.pop_front();
        }
    }

    /// Returns the bucket that counts attempts now, added if the last one has ended.
    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let span = self.bucket_span();
        let is_open = self
            .buckets
            .back()
            .is_some_and(|bucket| now < bucket.start + span);
        if !is_open {
            self.buckets.push_back(Bucket {
                start: now,
                first_attempts: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn bucket_span(&self) -> Millis {
        Millis((self.rules.window.0 / BUCKETS_PER_WINDOW).max(1))
    }
}
