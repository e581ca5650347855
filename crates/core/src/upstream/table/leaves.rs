//! Leaves of the upstreams in the table.

use crate::id::Upstream;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::Table;
use crate::upstream::announce::Announcement;
use crate::upstream::announce::Phase;
use crate::upstream::leave::LeaveNotice;

impl Table {
    /// Applies a leave, also one of an upstream or a start that is not known. Returns whether it was
    /// news and has to be passed on.
    pub fn observe_leave(&mut self, now: Millis, notice: &LeaveNotice) -> bool {
        let limit = self.config.max_upstreams;
        if !self.leaves.observe(now, notice, limit) {
            return false;
        }
        if let Some(row) = self.rows.get_mut(&notice.upstream) {
            let start = row.announcement.incarnation;
            if self.leaves.has_left(now, &notice.upstream, start) {
                row.announcement.phase = Phase::Leaving;
                self.revision += 1;
                row.revision = self.revision;
            }
            row.held_until = self.leaves.held_until(now, &notice.upstream, start);
        }
        true
    }

    /// Returns the time since the last statement by which this start has left, if there was one.
    pub fn leave_age(
        &self,
        now: Millis,
        upstream: &Upstream,
        start: Incarnation,
    ) -> Option<Millis> {
        self.leaves.age(now, upstream, start)
    }

    /// Returns an announcement with the phase that it has by the known leaves: one of a start that
    /// has left is a late one.
    pub fn apply_leave(&self, now: Millis, mut announcement: Announcement) -> Announcement {
        let start = announcement.incarnation;
        if self.leaves.has_left(now, &announcement.upstream, start) {
            announcement.phase = Phase::Leaving;
        }
        announcement
    }

    /// Returns the known leave of an upstream.
    pub fn leave_notice(&self, now: Millis, upstream: &Upstream) -> Option<LeaveNotice> {
        self.leaves.notice(now, upstream)
    }

    /// Returns all known leaves, for nodes that missed them.
    pub fn leave_notices(&self, now: Millis) -> impl Iterator<Item = LeaveNotice> {
        self.leaves.notices(now)
    }
}
