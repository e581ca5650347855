//! Timers around the protocol.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::input::Campaign;
use super::input::Input;
use super::input::Output;
use super::node::DurableState;
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
    campaign_at: Millis,
    timeout_at: Millis,
    heartbeat_at: Millis,
    check_at: Millis,
}

impl Replica {
    /// A replica that starts from what its disk holds.
    pub fn new(
        id: ReplicaId,
        durable: DurableState,
        timing: Timing,
        seed: u64,
        now: Millis,
    ) -> Self {
        let mut replica = Self {
            node: Node::new(id, durable),
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed),
            campaign_at: now,
            timeout_at: now,
            heartbeat_at: now,
            check_at: now,
        };
        replica.reset_election(now);
        replica
    }

    /// See [`Node::with_target_voters`].
    pub fn with_target_voters(mut self, seats: Option<usize>) -> Self {
        self.node = self.node.with_target_voters(seats);
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
            self.heartbeat_at = now + self.timing.heartbeat;
            self.check_at = now + self.timing.election;
        }
        let mut reset = led && !self.node.leads();
        out.retain(|output| {
            reset |= matches!(output, Output::ResetTimer);
            !matches!(output, Output::ResetTimer)
        });
        if reset {
            self.reset_election(now);
        }
    }

    /// Lets the timers run out that are due.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.node.leads() {
            if now >= self.timeout_at {
                self.step(now, Input::LeaderTimeout, out);
            }
            if now >= self.campaign_at {
                self.reset_election(now);
                self.step(now, Input::Campaign(Campaign::PreVote), out);
            }
            return;
        }
        if now >= self.check_at {
            self.check_at = now + self.timing.election;
            self.step(now, Input::CheckQuorum, out);
        }
        if self.node.leads() && now >= self.heartbeat_at {
            self.heartbeat_at = now + self.timing.heartbeat;
            self.step(now, Input::Heartbeat, out);
        }
    }

    fn reset_election(&mut self, now: Millis) {
        let jitter = self.rng.random_range(0..=self.timing.election.0);
        self.timeout_at = now + self.timing.election;
        self.campaign_at = self.timeout_at + Millis(jitter);
    }
}
