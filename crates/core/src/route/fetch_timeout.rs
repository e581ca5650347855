//! How long a fetch of the routes may take.

use crate::unit::Millis;

/// Timeout of the next fetch of a document, by the fetches that ran out of time before it.
///
/// Load pattern: one change of thousands of routes goes to hundreds of nodes at once. A fetch that
/// runs out of time starts over at another node, so with one fixed timeout a node whose link is too
/// slow for it at the moment would never have the document. The first fetches stay short, as their
/// nodes may have stopped answering.
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

impl FetchTimeout {
    /// Creates a timeout that lies between `least` and `most`.
    pub fn new(least: Millis, most: Millis) -> Self {
        Self {
            least,
            most,
            expired: 0,
        }
    }

    /// Returns the timeout of the next fetch.
    pub fn current(&self) -> Millis {
        let steps = self.expired / FETCHES_PER_STEP;
        let factor = 1_u64.checked_shl(steps).unwrap_or(u64::MAX);
        Millis(self.least.0.saturating_mul(factor)).min(self.most)
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
