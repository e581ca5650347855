//! Leaves of upstreams, kept apart from their announcements: a leave may name a start of which this
//! node has heard nothing yet, and heartbeats of that start may arrive after it.
//!
//! Notices of one upstream can be merged in any order and any number of times.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::announce::is_upstream_name;
use super::attribution::Attribution;

/// Most notices in one item of gossip.
pub const MAX_LEAVES: usize = 16;

/// How long a leave is kept: as long as a table keeps an upstream that is silent.
pub const LEAVE_TTL: Millis = Millis(600_000);

/// How long a leave that names no start keeps an upstream out of use that may have started before
/// it: longest delay of a heartbeat. The clock of an upstream that started after the leave may be
/// behind, so it is used again once its heartbeats go on for longer.
pub const HOLD_TIME: Millis = Millis(10_000);

/// A leave of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaveNotice {
    /// The upstream.
    pub upstream: Upstream,
    /// The starts that left.
    pub starts: Attribution,
    /// Time since the leave was stated.
    pub age: Millis,
}

/// The leaves that a node knows.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaveBook {
    known: Map<Upstream, Leave>,
}

#[derive(Clone, Copy, Debug)]
struct Leave {
    starts: Attribution,
    expires: Millis,
}

impl Leave {
    fn age(&self, now: Millis) -> Millis {
        LEAVE_TTL.saturating_sub(self.expires.saturating_sub(now))
    }
}

impl LeaveBook {
    /// Applies a notice. Returns whether it was news. With `limit` leaves known, the oldest is
    /// dropped for a further one.
    pub fn observe(&mut self, now: Millis, notice: &LeaveNotice, limit: usize) -> bool {
        let is_valid = is_upstream_name(&notice.upstream) && notice.starts.is_valid();
        if !is_valid || notice.age >= LEAVE_TTL {
            return false;
        }
        let known = self.known.get(&notice.upstream).copied();
        let starts = known.map_or(notice.starts, |known| known.starts.union(notice.starts));
        if known.is_some_and(|known| known.starts == starts) {
            return false;
        }
        if known.is_none() && self.known.len() >= limit {
            self.drop_oldest();
        }
        let expires = now + LEAVE_TTL.saturating_sub(notice.age);
        let known = known.map_or(Millis::ZERO, |known| known.expires);
        let leave = Leave {
            starts,
            expires: known.max(expires),
        };
        self.known.insert(notice.upstream.clone(), leave);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .known
            .iter()
            .min_by_key(|(upstream, leave)| (leave.expires, *upstream))
            .map(|(upstream, _)| upstream.clone());
        if let Some(upstream) = oldest {
            self.known.remove(&upstream);
        }
    }

    /// Returns whether this start has left for certain.
    pub fn has_left(&self, now: Millis, upstream: &Upstream, start: Incarnation) -> bool {
        self.age(now, upstream, start).is_some()
    }

    /// Returns the time since this start left, if it is known to have left for certain.
    pub fn age(&self, now: Millis, upstream: &Upstream, start: Incarnation) -> Option<Millis> {
        let leave = self.active(now, upstream);
        let leave = leave.filter(|leave| start <= leave.starts.known)?;
        Some(leave.age(now))
    }

    /// Returns until when this start is not used, as it may have left.
    pub fn held_until(
        &self,
        now: Millis,
        upstream: &Upstream,
        start: Incarnation,
    ) -> Option<Millis> {
        let leave = self.active(now, upstream)?;
        let end = leave
            .expires
            .saturating_sub(LEAVE_TTL.saturating_sub(HOLD_TIME));
        (start <= leave.starts.latest && now < end).then_some(end)
    }

    fn active(&self, now: Millis, upstream: &Upstream) -> Option<&Leave> {
        let leave = self.known.get(upstream);
        leave.filter(|leave| now < leave.expires)
    }

    /// Returns the leave of an upstream.
    pub fn notice(&self, now: Millis, upstream: &Upstream) -> Option<LeaveNotice> {
        let leave = self.active(now, upstream)?;
        Some(LeaveNotice {
            upstream: upstream.clone(),
            starts: leave.starts,
            age: leave.age(now),
        })
    }

    /// Returns all leaves, for nodes that missed them.
    pub fn notices(&self, now: Millis) -> impl Iterator<Item = LeaveNotice> {
        let active = self
            .known
            .iter()
            .filter(move |(_, leave)| now < leave.expires);
        active.map(move |(upstream, leave)| LeaveNotice {
            upstream: upstream.clone(),
            starts: leave.starts,
            age: leave.age(now),
        })
    }

    /// Removes expired leaves.
    pub fn expire(&mut self, now: Millis) {
        self.known.retain(|_, leave| now < leave.expires);
    }
}
