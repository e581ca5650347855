//! The owner of an upstream's rate: grants the routers their shares.

use std::net::SocketAddr;

use crate::map::Map;
use crate::unit::Millis;
use crate::unit::RequestRate;

use super::bucket::Bucket;

/// Requests that may be granted at once: two, so that a low rate is used though requests come at
/// random, or those of this time, if they are more.
const MIN_BURST: u64 = 2;
const BURST: Millis = Millis(250);
/// Time after its last request for which a router that was granted too little counts as waiting.
const WAITING_TIME: Millis = Millis(2_500);
/// Bounds of the time until a router asks again.
const MIN_WAIT: Millis = Millis(50);
const MAX_WAIT: Millis = Millis(2_000);

/// Grants requests at one upstream to the routers that ask for them, at its rate in sum.
#[derive(Clone, Debug)]
pub(super) struct Grantor {
    bucket: Bucket,
    /// Routers that were granted less than they wanted.
    waiting: Map<SocketAddr, Waiting>,
}

/// A router that was granted less than it wanted.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// When it asked last.
    asked_at: Millis,
    /// Highest priority of its requests.
    priority: u8,
}

/// What a router was granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Granted {
    /// Requests that it may send.
    pub tokens: u64,
    /// Time after which it may ask again. Routers that wait share the rate evenly.
    pub wait: Millis,
}

impl Grantor {
    /// Returns a grantor that has nothing to grant yet.
    pub fn new(now: Millis) -> Self {
        Self {
            bucket: Bucket::new(now),
            waiting: Map::default(),
        }
    }

    /// Grants up to `wanted` requests to a router. `priority` is the highest of its requests; a router
    /// yields to others that wait with a higher one.
    pub fn grant(
        &mut self,
        now: Millis,
        rate: RequestRate,
        router: SocketAddr,
        wanted: u64,
        priority: u8,
    ) -> Granted {
        self.bucket.refill(now, rate, MIN_BURST, BURST);
        self.waiting
            .retain(|_, other| now < other.asked_at + WAITING_TIME);
        let yields = self.waiting.values().any(|other| other.priority > priority);
        let tokens = match yields {
            true => 0,
            false => self.bucket.take(wanted),
        };
        let wait = match tokens >= wanted {
            true => {
                self.waiting.remove(&router);
                MIN_WAIT
            }
            false => {
                let asked_at = now;
                self.waiting.insert(router, Waiting { asked_at, priority });
                self.bucket.time_until(self.waiting.len() as u64, rate)
            }
        };
        Granted {
            tokens,
            wait: wait.clamp(MIN_WAIT, MAX_WAIT),
        }
    }
}
