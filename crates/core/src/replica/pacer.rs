//! Timers around the protocol.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::input::Campaign;
use super::input::Input;
use super::input::Output;
use super::node::Durable;
use super::node::Node;
use crate::id::ReplicaId;
use crate::unit::Millis;

/// Spans of the timers, on the monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time without a leader before an election; drawn between once and twice this.
    pub election: Millis,
    /// Time between heartbeats.
    pub heartbeat: Millis,
}

/// A node with its timers. Time is monotonic and comes in with each input.
#[derive(Clone, Debug)]
pub struct Replica {
    node: Node,
    timing: Timing,
    rng: ChaCha8Rng,
    stand: Millis,
    lapse: Millis,
    beat: Millis,
    check: Millis,
}

impl Replica {
    /// A replica that starts from what its disk holds.
    pub fn new(id: ReplicaId, durable: Durable, timing: Timing, seed: u64, now: Millis) -> Self {
        let mut replica = Self {
            node: Node::new(id, durable),
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed),
            stand: now,
            lapse: now,
            beat: now,
            check: now,
        };
        replica.rest(now);
        replica
    }

    /// See [`Node::seated`].
    pub fn seated(mut self, seats: Option<usize>) -> Self {
        self.node = self.node.seated(seats);
        self
    }

    /// The protocol's state.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Advances by one input.
    pub fn step(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        let led = self.node.leads();
        self.node.step(input, out);
        if !led && self.node.leads() {
            self.beat = now + self.timing.heartbeat;
            self.check = now + self.timing.election;
        }
        let mut rested = led && !self.node.leads();
        out.retain(|output| {
            rested |= matches!(output, Output::Rest);
            !matches!(output, Output::Rest)
        });
        if rested {
            self.rest(now);
        }
    }

    /// Lets the timers run out that are due.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.node.leads() {
            if now >= self.lapse {
                self.step(now, Input::Lapse, out);
            }
            if now >= self.stand {
                self.rest(now);
                self.step(now, Input::Campaign(Campaign::Asking), out);
            }
            return;
        }
        if now >= self.check {
            self.check = now + self.timing.election;
            self.step(now, Input::Check, out);
        }
        if self.node.leads() && now >= self.beat {
            self.beat = now + self.timing.heartbeat;
            self.step(now, Input::Beat, out);
        }
    }

    fn rest(&mut self, now: Millis) {
        let spread = self.rng.random_range(0..=self.timing.election.0);
        self.lapse = now + self.timing.election;
        self.stand = self.lapse + Millis(spread);
    }
}
