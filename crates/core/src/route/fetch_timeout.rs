//! How long a fetch of the routes may take.

use crate::unit::Millis;

/// Timeout of the next fetch of a document, by the fetches that ran out of time before it and by
/// what its connection took to open.
///
/// Load pattern: one change of thousands of routes goes to hundreds of nodes at once. A fetch that
/// runs out of time starts over at another node, so with one fixed timeout a node whose link is too
/// slow for it at the moment would never have the document. The first fetches stay short, as their
/// nodes may have stopped answering, unless their connections show that packets take long.
#[derive(Clone, Copy, Debug)]
pub struct FetchTimeout {
    /// Timeout of the first fetches.
    least: Millis,
    /// Bound on every timeout.
    most: Millis,
    /// Fetches that ran out of time since the last one that succeeded.
    expired: u32,
}

/// Fetches in a row that get the same timeout before it doubles.
const FETCHES_PER_STEP: u32 = 2;

/// Times that a connection takes to open in which its first answer has to arrive. Opening takes one
/// round trip, the request and the first bytes of the answer another one; the rest is transfer.
const ANSWER_FACTOR: u64 = 3;

impl FetchTimeout {
    /// Creates a timeout that lies between `least` and `most`.
    pub fn new(least: Millis, most: Millis) -> Self {
        Self {
            least,
            most,
            expired: 0,
        }
    }

    /// Returns the timeout of the next fetch, over a connection that took `connecting` to open.
    pub fn current(&self, connecting: Millis) -> Millis {
        let steps = self.expired / FETCHES_PER_STEP;
        let factor = 1_u64.checked_shl(steps).unwrap_or(u64::MAX);
        let by_expired = self.least.0.saturating_mul(factor);
        let by_connection = connecting.0.saturating_mul(ANSWER_FACTOR);
        Millis(by_expired.max(by_connection)).min(self.most)
    }

    /// Records a fetch that ran out of time while the node was connected.
    pub fn record_expired(&mut self) {
        self.expired = self.expired.saturating_add(1);
    }

    /// Records a fetch that succeeded.
    pub fn record_success(&mut self) {
        self.expired = 0;
    }
}
