//! Cost of a placement: the expected time to the first event of the answer.
//!
//! Load pattern: upstreams of uneven speed, with spells in which one is slow, behind many routers of
//! which each sees only its own attempts and what came with its own answers.

use crate::unit::Millis;

use super::config::TableConfig;
use super::row::Row;
use super::speed::ServiceSpeed;

/// Estimates the cost of placements at upstreams of one service.
pub(super) struct CostModel {
    now: Millis,
    /// Time for one token of the prompt at an average upstream, in milliseconds.
    per_token: f64,
    /// Time for a request without a prompt, and delay that each attempt in progress adds, in
    /// milliseconds.
    per_request: f64,
    /// Average duration of an attempt in milliseconds; 0 if not known.
    duration: f64,
    /// Average number of requests of other routers at an upstream that told its load.
    other_load: f64,
}

impl CostModel {
    /// Returns the model for a choice among `rows`.
    pub fn new(
        now: Millis,
        config: &TableConfig,
        service: Option<&ServiceSpeed>,
        rows: &[&Row],
    ) -> Self {
        let told = rows.iter().filter_map(|row| row.told_load(now));
        let (sum, count) = told.fold((0.0, 0.0), |(sum, count), load| {
            (sum + f64::from(load), count + 1.0)
        });
        Self {
            now,
            per_token: 1.0 / config.prefill_rate.max(1) as f64,
            per_request: config.request_delay as f64,
            duration: service.and_then(ServiceSpeed::duration).unwrap_or(0.0),
            other_load: sum / f64::max(count, 1.0),
        }
    }

    /// Returns the expected time in milliseconds until the first event of a request with this many
    /// tokens of its prompt not cached.
    pub fn first_event(&self, row: &Row, uncached: u64) -> f64 {
        let tokens = row.pending_prefill.saturating_add(uncached) as f64;
        let requests = f64::from(row.in_flight) + 1.0;
        // A request beyond the slots waits until one is free.
        let slots = f64::from(row.announcement.slots.max(1));
        let excess = f64::max(self.load(row) + 1.0 - slots, 0.0);
        let work = tokens * self.per_token + requests * self.per_request;
        (work + excess * self.duration / slots) * row.speed.factor(self.now)
    }

    /// Returns whether an upstream takes a session whose home it is, or gives way to the next one in
    /// the session's order.
    pub fn may_be_home(&self, row: &Row) -> bool {
        let has_slot = self.load(row) < f64::from(row.announcement.slots.max(1));
        has_slot && !row.speed.is_slow(self.now)
    }

    /// Requests that are expected to run or wait at an upstream.
    fn load(&self, row: &Row) -> f64 {
        let others = row.told_load(self.now).map_or(self.other_load, f64::from);
        others + f64::from(row.in_flight)
    }
}
