//! Measured speed of upstreams.
//!
//! Load pattern: upstreams of one service run on machines of different speed, and some are slow for
//! spells of less than a second. A router sees few answers of each upstream, so that the time which a
//! prompt takes is fitted over all upstreams of a service, and an upstream has one factor to it.

use std::collections::VecDeque;

use crate::unit::Millis;

/// Time to the first event at an average upstream of a service: a fixed part and a part that grows
/// with the prompt, fitted to recent answers by least squares.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceSpeed {
    count: f64,
    tokens: f64,
    delay: f64,
    tokens_squared: f64,
    product: f64,
    /// Average duration of a whole attempt, in milliseconds; 0 if none has ended.
    duration: f64,
}

/// Speed of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamSpeed {
    /// Recent times to the first event, relative to the fit of the service.
    samples: VecDeque<Sample>,
    /// How long work takes as the upstream told, in percent of its usual time, and when it did.
    told: Option<(Millis, u32)>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    factor: f64,
}

/// What each answer leaves of the weight of earlier ones.
const DECAY: f64 = 0.99;
/// Fewest answers of a service from which its speed is known.
const MIN_ANSWERS: f64 = 8.0;
/// Largest ratio of a measured time to the expected one that is believed; a larger one is mostly not
/// of the upstream's making.
const MAX_FACTOR: f64 = 4.0;
/// Most samples kept of an upstream.
const MAX_SAMPLES: usize = 7;
/// Time after which a sample no longer counts, so that an upstream that was slow is tried again.
const SAMPLE_TTL: Millis = Millis(30_000);
/// Time for which a told figure counts: what slows a shared machine passes in under a second.
const TOLD_TTL: Millis = Millis(400);
/// Weight of the expectation that an upstream is as fast as the average, in samples.
const PRIOR_WEIGHT: f64 = 1.0;
/// Fewest samples that show an upstream to be slow.
const MIN_SAMPLES: usize = 3;
/// Factor from which an upstream is slow.
const SLOW_FACTOR: f64 = 1.5;

impl ServiceSpeed {
    /// Records the time from the start of an attempt to its first event, in milliseconds, with
    /// `tokens` of prompts to process before it. `factor` is what the upstream was slower than the
    /// average by, as far as it is known.
    pub fn record(&mut self, tokens: u64, delay: u64, factor: f64) {
        let tokens = tokens as f64;
        let mut delay = delay as f64 / factor;
        if let Some(expected) = self.expected(tokens) {
            delay = delay.min(expected.max(1.0) * MAX_FACTOR);
        }
        self.count = self.count * DECAY + 1.0;
        self.tokens = self.tokens * DECAY + tokens;
        self.delay = self.delay * DECAY + delay;
        self.tokens_squared = self.tokens_squared * DECAY + tokens * tokens;
        self.product = self.product * DECAY + tokens * delay;
    }

    /// Records the duration of a whole attempt, in milliseconds.
    pub fn record_duration(&mut self, duration: u64) {
        let duration = duration as f64;
        self.duration = match self.duration > 0.0 {
            true => self.duration * DECAY + duration * (1.0 - DECAY),
            false => duration,
        };
    }

    /// Returns the average duration of an attempt in milliseconds, if it is known.
    pub fn duration(&self) -> Option<f64> {
        (self.duration > 0.0).then_some(self.duration)
    }

    /// Returns the fixed part of the time to the first event, in milliseconds, and the time for one
    /// token of the prompt, if they are known.
    pub fn fit(&self) -> Option<(f64, f64)> {
        if self.count < MIN_ANSWERS {
            return None;
        }
        let mean_tokens = self.tokens / self.count;
        let mean_delay = self.delay / self.count;
        let variance = self.tokens_squared / self.count - mean_tokens * mean_tokens;
        let covariance = self.product / self.count - mean_tokens * mean_delay;
        let most = mean_delay / mean_tokens.max(1.0);
        let per_token = match variance > 1.0 {
            true => (covariance / variance).clamp(0.0, most),
            false => 0.0,
        };
        Some((mean_delay - per_token * mean_tokens, per_token))
    }

    /// Returns the expected time to the first event, in milliseconds, if it is known.
    fn expected(&self, tokens: f64) -> Option<f64> {
        let (fixed, per_token) = self.fit()?;
        Some(fixed + per_token * tokens)
    }
}

impl UpstreamSpeed {
    /// Records how long work takes on the upstream, in percent of its usual time.
    pub fn record_told(&mut self, now: Millis, percent: u32) {
        self.told = Some((now, percent));
    }

    /// Returns whether the upstream has told how long work takes.
    pub fn is_told(&self) -> bool {
        self.told.is_some()
    }

    /// Records the time to a first event and adds it to the speed of the service.
    pub fn record(&mut self, now: Millis, service: &mut ServiceSpeed, tokens: u64, delay: u64) {
        let told = self.told_factor(now);
        let expected = service.expected(tokens as f64);
        service.record(tokens, delay, told);
        let Some(expected) = expected else {
            return;
        };
        let factor = delay as f64 / expected.max(1.0) / told;
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at: now,
            factor: factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR),
        });
    }

    /// Returns whether several answers show that the upstream is much slower than the average one.
    pub fn is_slow(&self, now: Millis) -> bool {
        let factors = self.fresh_factors(now);
        factors.len() >= MIN_SAMPLES && factors[(factors.len() - 1) / 2] > SLOW_FACTOR
    }

    /// Returns how much longer than at the average upstream work usually takes; 1 if not known.
    fn usual_factor(&self, now: Millis) -> f64 {
        let factors = self.fresh_factors(now);
        if factors.is_empty() {
            return 1.0;
        }
        let count = factors.len() as f64;
        // The lower one of two: most disturbances make an answer later, none makes it earlier.
        let median = factors[(factors.len() - 1) / 2];
        (median * count + PRIOR_WEIGHT) / (count + PRIOR_WEIGHT)
    }

    /// Returns the measured factors that still count, in ascending order.
    fn fresh_factors(&self, now: Millis) -> Vec<f64> {
        let fresh = self.samples.iter();
        let fresh = fresh.filter(|sample| now < sample.at + SAMPLE_TTL);
        let mut factors: Vec<f64> = fresh.map(|sample| sample.factor).collect();
        factors.sort_by(f64::total_cmp);
        factors
    }

    /// Returns how much longer than at the average upstream work takes now; 1 if not known.
    pub fn factor(&self, now: Millis) -> f64 {
        self.usual_factor(now) * self.told_factor(now)
    }

    fn told_factor(&self, now: Millis) -> f64 {
        match self.told {
            Some((at, percent)) if now < at + TOLD_TTL => {
                (f64::from(percent) / 100.0).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
            }
            _ => 1.0,
        }
    }
}
