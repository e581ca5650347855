//! Pause that one upstream asked one router for.

use crate::unit::Millis;

/// Longest pause that is kept. An upstream that asks for more is tried once after it.
pub const MAX_PAUSE: Millis = Millis(600_000);
