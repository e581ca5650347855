//! Attribution of a statement to starts of the upstream that made it.

use serde::Deserialize;
use serde::Serialize;

use crate::unit::Incarnation;
use crate::unit::Millis;

use super::announce::MAX_INCARNATION;

/// The starts of an upstream that can have made a statement.
///
/// A node may not know the start that speaks: its heartbeats may be held up, or lost in a partition.
/// Incarnations are the Unix times of the starts, in milliseconds, by the clocks of the upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attribution {
    /// Latest start that made the statement or ended before; zero if none is known.
    pub known: Incarnation,
    /// Latest start that may have made it.
    pub latest: Incarnation,
}

impl Attribution {
    /// Returns the attribution of a statement that names its start.
    pub fn stated(start: Incarnation) -> Self {
        Self {
            known: start,
            latest: start,
        }
    }

    /// Returns the attribution of a statement that was heard at this Unix time and names no start.
    /// `known` is the latest start that was known then.
    pub fn heard_at(unix: Millis, known: Option<Incarnation>) -> Self {
        let known = known.unwrap_or_default();
        Self {
            known,
            latest: known.max(Incarnation(unix.0)),
        }
    }

    /// Returns whether an upstream can have these starts.
    pub(super) fn is_valid(self) -> bool {
        self.known <= self.latest && self.latest.0 <= MAX_INCARNATION
    }

    /// Returns the attribution of either of two statements that say the same.
    pub(super) fn union(self, other: Self) -> Self {
        Self {
            known: self.known.max(other.known),
            latest: self.latest.max(other.latest),
        }
    }
}
