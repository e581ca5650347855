//! How fast a pool of upstreams works, learnt from what it finished.

use crate::unit::Millis;
use crate::unit::Tokens;

/// Moving averages of one pool. Without a sample nothing is foretold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    samples: u32,
    held: f64,
    spread: f64,
    cost: f64,
}

const WEIGHT: f64 = 0.05;
const FIRST_SAMPLES: u32 = 20;
const OUTLIER: f64 = 4.0;

impl Pace {
    /// A request of this cost held a slot for this long.
    pub fn finished(&mut self, cost: Tokens, held: Millis) {
        let cost = cost.0.max(1) as f64;
        let held = held.0.max(1) as f64;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.held = held;
            self.spread = held / 2.0;
            self.cost = cost;
            return;
        }
        let weight = match self.samples < FIRST_SAMPLES {
            true => 1.0 / f64::from(self.samples),
            false => WEIGHT,
        };
        // A refusal in a moment says little of how long work takes.
        let held = held.clamp(self.held / OUTLIER, self.held * OUTLIER);
        self.spread += weight * ((held - self.held).abs() - self.spread);
        self.held += weight * (held - self.held);
        self.cost += weight * (cost - self.cost);
    }

    /// Whether there are enough samples to foretell anything.
    pub fn known(&self) -> bool {
        self.samples >= FIRST_SAMPLES
    }

    /// Time in which `slots` upstream slots work off this many tokens.
    pub fn time(&self, work: u64, slots: u32) -> Millis {
        if !self.known() || slots == 0 {
            return Millis::ZERO;
        }
        let each = self.held / self.cost.max(1.0);
        Millis((work as f64 * each / f64::from(slots)) as u64)
    }

    /// How long a quick request holds a slot: the average less the average deviation.
    pub fn quick(&self) -> Millis {
        match self.known() {
            true => Millis((self.held - self.spread).max(0.0) as u64),
            false => Millis::ZERO,
        }
    }
}
