//! Version order of one upstream's announcements.
//!
//! The order is total, and a router keeps the greatest announcement that it received. So routers
//! that received the same announcements, in any order and any number of times, reach the same
//! state, and a leaving phase is final for its incarnation.

use crate::unit::Incarnation;

use super::announce::Announcement;
use super::announce::Phase;
use super::config::Order;

/// Version of an announcement among those of the same upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version {
    /// Start of the upstream.
    pub incarnation: Incarnation,
    /// Phase within the incarnation; leaving is greater than ready.
    pub phase: Phase,
    /// Sequence number within the incarnation.
    pub seq: u64,
}

impl Version {
    /// Returns the version of an announcement.
    pub fn of(announcement: &Announcement) -> Self {
        Self {
            incarnation: announcement.incarnation,
            phase: announcement.phase,
            seq: announcement.seq,
        }
    }

    /// Returns whether `self` supersedes `known` in this order.
    pub fn supersedes(self, known: Self, order: Order) -> bool {
        match order {
            Order::Total => self > known,
            Order::Sequence => self.seq > known.seq,
            Order::WithoutPhase => (self.incarnation, self.seq) > (known.incarnation, known.seq),
            Order::Arrival => self != known,
        }
    }
}
