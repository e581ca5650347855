//! Order of one upstream's announcements.
//!
//! The order is total, and a router keeps the greatest announcement that it heard. So any order of
//! delivery, with losses made up for and with repeats, leads to the same state, and a leave is final
//! for its incarnation.

use crate::unit::Incarnation;

use super::announce::Announcement;
use super::announce::Phase;
use super::rules::Order;

/// What orders an announcement among those of the same upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Standing {
    /// Which start.
    pub incarnation: Incarnation,
    /// Whether it takes work; leaving is greater.
    pub phase: Phase,
    /// Number within the start.
    pub seq: u64,
}

impl Standing {
    /// Standing of an announcement.
    pub fn of(said: &Announcement) -> Self {
        Self {
            incarnation: said.incarnation,
            phase: said.phase,
            seq: said.seq,
        }
    }

    /// Whether `self` replaces `known`.
    pub fn replaces(self, known: Self, order: Order) -> bool {
        match order {
            Order::Total => self > known,
            Order::Sequence => self.seq > known.seq,
            Order::Reopening => (self.incarnation, self.seq) > (known.incarnation, known.seq),
            Order::Arrival => self != known,
        }
    }
}
