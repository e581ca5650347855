//! How far ahead a holder draws, and how often it reports.

use crate::unit::Millis;
use crate::unit::Tokens;

/// Settings of a [`Purse`](super::Purse).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Least tokens drawn ahead.
    pub step: Tokens,
    /// Seconds of recent spending that are drawn ahead. The ledger grants less as a budget nears
    /// its end.
    pub ahead: u64,
    /// Seconds of recent spending that may go without a report, besides what is reserved. It carries
    /// a holder through a partition, and is unknown when the holder is lost. If zero, the exposure
    /// follows the largest reservations of late.
    pub cover: u64,
    /// Time between reports.
    pub ample: Millis,
    /// Time between reports while tokens are scarce.
    pub scarce: Millis,
    /// Span over which older spending fades from the rate.
    pub fade: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            step: STEP,
            ahead: AHEAD_SECONDS,
            cover: 0,
            ample: AMPLE_MILLIS,
            scarce: SCARCE_MILLIS,
            fade: FADE_MILLIS,
        }
    }
}

const STEP: Tokens = Tokens(20_000);
const AHEAD_SECONDS: u64 = 1_200;
const SCARCE_MILLIS: Millis = Millis(500);
const AMPLE_MILLIS: Millis = Millis(10_000);
const FADE_MILLIS: Millis = Millis(600_000);
