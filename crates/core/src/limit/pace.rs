//! Estimates how fast a pool of upstreams works, from the requests that it finished.

use crate::unit::Millis;
use crate::unit::Tokens;

/// Exponentially weighted averages of one pool. All estimates are zero until there are enough
/// samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    samples: u32,
    /// Average time for which a request holds a slot, in milliseconds.
    mean_held: f64,
    /// Average absolute deviation from that time, in milliseconds.
    deviation: f64,
    /// Average cost of a request, in tokens.
    mean_cost: f64,
}

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Number of samples before which the averages are plain means and nothing is estimated.
const MIN_SAMPLES: u32 = 20;

/// Largest ratio, in either direction, of a sample to the average; others are clamped to it.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Number of average deviations above the average that a long request takes.
const LONG_DEVIATIONS: f64 = 4.0;

impl ServiceTime {
    /// Records that a request of this cost held a slot for this long.
    pub fn record(&mut self, cost: Tokens, held: Millis) {
        let cost = cost.0.max(1) as f64;
        let held = held.0.max(1) as f64;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_held = held;
            self.deviation = held / 2.0;
            self.mean_cost = cost;
            return;
        }
        let weight = match self.samples < MIN_SAMPLES {
            true => 1.0 / f64::from(self.samples),
            false => SAMPLE_WEIGHT,
        };
        // An immediate refusal by the upstream says little about how long work takes.
        let held = held.clamp(
            self.mean_held / MAX_SAMPLE_RATIO,
            self.mean_held * MAX_SAMPLE_RATIO,
        );
        self.deviation += weight * ((held - self.mean_held).abs() - self.deviation);
        self.mean_held += weight * (held - self.mean_held);
        self.mean_cost += weight * (cost - self.mean_cost);
    }

    /// Whether there are enough samples for an estimate.
    pub fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Estimates the time in which `slots` upstream slots serve this many tokens.
    pub fn drain_time(&self, work: u64, slots: u32) -> Millis {
        if !self.is_known() || slots == 0 {
            return Millis::ZERO;
        }
        let per_token = self.mean_held / self.mean_cost.max(1.0);
        Millis((work as f64 * per_token / f64::from(slots)) as u64)
    }

    /// Estimates the time until one of `slots` requests in progress ends.
    pub fn turnover(&self, slots: u32) -> Millis {
        Millis((self.mean_held / f64::from(slots.max(1))) as u64)
    }

    /// Estimates how long a long request takes: the average and four times the average deviation.
    pub fn long_request(&self) -> Option<Millis> {
        let bound = self.mean_held + LONG_DEVIATIONS * self.deviation;
        self.is_known().then_some(Millis(bound as u64))
    }

    /// Estimates how long a short request holds a slot: the average less the average deviation.
    pub fn short_request(&self) -> Millis {
        match self.is_known() {
            true => Millis((self.mean_held - self.deviation).max(0.0) as u64),
            false => Millis::ZERO,
        }
    }
}
