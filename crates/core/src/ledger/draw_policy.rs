//! How far ahead of its demand a holder draws tokens, and how often it reports.

use crate::unit::Millis;
use crate::unit::Tokens;

/// Settings of a [`HolderLedger`](super::HolderLedger), fixed when it is created.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrawPolicy {
    /// Least tokens held beyond the need of the waiting requests.
    pub min_ahead: Tokens,
    /// Seconds of recent spending that are held beyond that need. The ledger grants less as a
    /// budget nears its end.
    pub ahead_seconds: u64,
    /// Seconds of recent spending that may go without a report, besides what is reserved. They let
    /// a holder serve through a partition, and are unaccounted for when the holder is lost. If
    /// zero, the exposure is twice the largest one of recent minutes.
    pub exposure_seconds: u64,
    /// Time between reports.
    pub interval: Millis,
    /// Time between reports while tokens are scarce.
    pub scarce_interval: Millis,
    /// Span over which the rate of spending is averaged.
    pub rate_window: Millis,
}

impl Default for DrawPolicy {
    fn default() -> Self {
        Self {
            min_ahead: MIN_AHEAD_TOKENS,
            ahead_seconds: AHEAD_SECONDS,
            exposure_seconds: 0,
            interval: INTERVAL_MILLIS,
            scarce_interval: SCARCE_INTERVAL_MILLIS,
            rate_window: RATE_WINDOW_MILLIS,
        }
    }
}

const MIN_AHEAD_TOKENS: Tokens = Tokens(20_000);
const AHEAD_SECONDS: u64 = 1_200;
const SCARCE_INTERVAL_MILLIS: Millis = Millis(500);
const INTERVAL_MILLIS: Millis = Millis(10_000);
const RATE_WINDOW_MILLIS: Millis = Millis(600_000);
