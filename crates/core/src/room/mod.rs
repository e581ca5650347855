//! Room of a router: whether its network link can take another request.
//!
//! Answers the load in which one router gets a large part of all requests. Bodies cross its link
//! twice; once it is full, connections, gossip and loans time out, and nothing is served. Requests
//! that find no room are refused before their bodies are read, so that callers turn to other
//! routers and the link carries the requests that were admitted. If what arrives fills the link all
//! the same, the router leaves the rotation of its load balancer for a while.

mod queue;
mod usage;

use crate::id::Workspace;
use crate::unit::Millis;
use queue::VirtualQueue;
use usage::Usage;

/// Part of the link that is kept for traffic between nodes and for headers of packets.
const RESERVE_PERCENT: u64 = 15;

/// Longest queue at which requests of the highest priority are admitted. It is short against the
/// time that a connection may take, and a burst of some large bodies fits.
const MAX_DELAY: Millis = Millis(120);

/// Time for which refusals have to be without effect on what arrives before callers are moved.
const FLOOD_TIME: Millis = Millis(300);

/// Time for which callers are sent to other routers: some checks of a load balancer.
const AWAY_TIME: Millis = Millis(12_000);

/// Number of bytes that have passed a router's link in each direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bytes {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

/// What is known of a request before its body is read.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Workspace of the caller, if its key is known.
    pub workspace: Option<&'a Workspace>,
    /// Priority of the request; zero is served first.
    pub priority: u8,
    /// Announced size of the body, in bytes.
    pub body: u64,
}

/// State of a router's link.
#[derive(Debug)]
pub struct Room {
    received: VirtualQueue,
    sent: VirtualQueue,
    /// Bodies that were admitted and have not arrived yet. It drains like the link, so that bodies
    /// which never arrive keep no room.
    expected: VirtualQueue,
    usage: Usage,
    /// Since when bytes have arrived faster than the usable rate.
    flooded_since: Option<Millis>,
    /// Until when the router stays out of rotation.
    away_until: Millis,
}

impl Room {
    /// Creates the room of a router whose link carries `rate` bytes a second in each direction.
    pub fn new(rate: u64) -> Self {
        let usable = rate.saturating_mul(100 - RESERVE_PERCENT) / 100;
        Self {
            received: VirtualQueue::new(usable),
            sent: VirtualQueue::new(usable),
            expected: VirtualQueue::new(usable),
            usage: Usage::default(),
            flooded_since: None,
            away_until: Millis::ZERO,
        }
    }

    /// Records bytes that passed the link since the last call.
    pub fn record(&mut self, now: Millis, bytes: Bytes) {
        self.received.add(now, bytes.received);
        self.sent.add(now, bytes.sent);
        self.expected.add(now, 0);
        if !self.is_flooded() {
            self.flooded_since = None;
            return;
        }
        let since = *self.flooded_since.get_or_insert(now);
        if now.saturating_sub(since) >= FLOOD_TIME && now >= self.away_until {
            self.away_until = now + AWAY_TIME;
            self.flooded_since = None;
        }
    }

    /// Returns whether a load balancer should send new connections here. It should not for
    /// [`AWAY_TIME`] once more arrives than the link carries although requests are refused.
    pub fn is_ready(&self, now: Millis) -> bool {
        now >= self.away_until
    }

    /// Returns whether a request is admitted. The caller calls [`Room::finish`] with the same size
    /// once the body of an admitted request was read or has failed.
    pub fn admit(&mut self, now: Millis, demand: Demand<'_>) -> bool {
        let is_hot = demand
            .workspace
            .is_some_and(|workspace| self.usage.is_hot(now, workspace));
        let longest = longest_delay(demand.priority, is_hot);
        self.expected.add(now, 0);
        let is_admitted = !self.is_flooded() && self.sent.delay(self.expected.bytes()) <= longest;
        if is_admitted {
            self.expected.add(now, demand.body);
            if let Some(workspace) = demand.workspace {
                self.usage.record(now, workspace, demand.body);
            }
        }
        is_admitted
    }

    /// Records that the body of an admitted request, announced with this size, is not awaited any
    /// more.
    pub fn finish(&mut self, body: u64) {
        self.expected.remove(body);
    }

    /// Returns whether more arrives than the link carries for long.
    fn is_flooded(&self) -> bool {
        self.received.delay(0) > MAX_DELAY
    }

    /// Returns whether the link is full: requests of the highest priority are refused.
    pub fn is_full(&self) -> bool {
        self.delay() > MAX_DELAY
    }

    /// Returns the time that the longer queue and the bodies still to come would take.
    pub fn delay(&self) -> Millis {
        let expected = self.expected.bytes();
        let received = self.received.delay(expected);
        received.max(self.sent.delay(expected))
    }
}

/// Returns the longest queue at which a request is admitted.
fn longest_delay(priority: u8, is_hot: bool) -> Millis {
    let steps = 1 + u64::from(priority) + u64::from(is_hot);
    Millis(MAX_DELAY.0 / steps)
}
