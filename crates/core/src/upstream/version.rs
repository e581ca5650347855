//! Order of one upstream's announcements.
//!
//! The order is total, and a router keeps the greatest announcement that it heard. So any order of
//! delivery, with losses made up for and with repeats, leads to the same state, and a leave is final
//! for its incarnation.

use crate::unit::Incarnation;

use super::announce::Announcement;
use super::announce::Phase;
use super::config::Order;

/// What orders an announcement among those of the same upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version {
    /// Which start.
    pub incarnation: Incarnation,
    /// Whether it takes work; leaving is greater.
    pub phase: Phase,
    /// Number within the start.
    pub seq: u64,
}

impl Version {
    /// Version of an announcement.
    pub fn of(announcement: &Announcement) -> Self {
        Self {
            incarnation: announcement.incarnation,
            phase: announcement.phase,
            seq: announcement.seq,
        }
    }

    /// Whether `self` supersedes `known`.
    pub fn supersedes(self, known: Self, order: Order) -> bool {
        match order {
            Order::Total => self > known,
            Order::Sequence => self.seq > known.seq,
            Order::WithoutPhase => (self.incarnation, self.seq) > (known.incarnation, known.seq),
            Order::Arrival => self != known,
        }
    }
}
