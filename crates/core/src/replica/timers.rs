//! Election and heartbeat timers for a node.

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

/// Durations of the timers, in milliseconds of the monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Minimum election timeout. The actual one is drawn at random between this and twice this.
    /// Also the interval of the leader's quorum checks.
    pub election: Millis,
    /// Interval between heartbeats.
    pub heartbeat: Millis,
}

/// A node with its timers. The caller passes the monotonic time with each call.
#[derive(Clone, Debug)]
pub struct Replica {
    node: Node,
    timing: Timing,
    /// Source of the random election timeouts.
    rng: ChaCha8Rng,
    /// When a follower starts an election: the randomized election timeout.
    campaign_at: Millis,
    /// When a follower counts its leader as lost: the minimum election timeout.
    timeout_at: Millis,
    /// When the leader sends the next heartbeat.
    heartbeat_at: Millis,
    /// When the leader next checks that a quorum responds.
    check_at: Millis,
}

impl Replica {
    /// Creates a replica from the state on its disk. `seed` seeds the random election timeouts.
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
    pub fn with_target_voters(mut self, target_voters: Option<usize>) -> Self {
        self.node = self.node.with_target_voters(target_voters);
        self
    }

    /// Returns the state of the protocol.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Processes one input and adds the resulting actions to `out`, except for
    /// [`Output::ResetTimer`], which is handled here.
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

    /// Processes all timers that have expired by `now`.
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

    /// Restarts the election timer with a new random timeout.
    fn reset_election(&mut self, now: Millis) {
        let jitter = self.rng.random_range(0..=self.timing.election.0);
        self.timeout_at = now + self.timing.election;
        self.campaign_at = self.timeout_at + Millis(jitter);
    }
}
