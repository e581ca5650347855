//! Software versions of the upstreams in the table.

use std::net::SocketAddr;

use crate::id::Release;
use crate::id::Upstream;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::Criteria;
use super::Table;
use crate::upstream::release::ReleaseNotice;

impl Table {
    /// Applies the software version of a start. Returns whether it was news and has to be passed on.
    pub fn observe_release(&mut self, now: Millis, notice: &ReleaseNotice) -> bool {
        let limit = self.config.max_upstreams;
        self.releases.observe(now, notice, limit)
    }

    /// Returns the software version of a start, if it is known for certain.
    pub fn release(&self, upstream: &Upstream, incarnation: Incarnation) -> Option<&Release> {
        self.releases.get(upstream, incarnation)
    }

    /// Records that the address of a start refused a connection: the start has ended, and another one
    /// may answer there from now on. Returns the upstreams whose start was not in doubt before.
    pub fn doubt_start(
        &mut self,
        now: Millis,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Vec<Upstream> {
        let known = self.rows.values().map(|row| &row.announcement);
        let affected =
            known.filter(|known| known.address == address && known.incarnation == incarnation);
        affected
            .map(|known| &known.upstream)
            .filter(|upstream| self.releases.doubt(now, upstream, incarnation))
            .cloned()
            .collect()
    }

    /// Returns whether an upstream that a request was not tried at stated the software version that
    /// the request is tied to, though its start may have ended since.
    pub fn has_doubted_candidate(&self, criteria: &Criteria) -> bool {
        self.rows.iter().any(|(upstream, row)| {
            row.offers(&criteria.kind)
                && !criteria.avoid.contains(upstream)
                && self.releases.may_allow(criteria, &row.announcement)
        })
    }

    /// Returns whether an upstream that a request was not tried at might take it, now or later.
    pub fn has_candidate(&self, criteria: &Criteria) -> bool {
        self.rows.iter().any(|(upstream, row)| {
            row.offers(&criteria.kind)
                && !criteria.avoid.contains(upstream)
                && self.releases.allows(criteria, &row.announcement)
        })
    }

    /// Returns the software versions of the upstreams whose announcements are resent, for nodes that
    /// missed them.
    pub fn release_notices(&self, now: Millis) -> impl Iterator<Item = ReleaseNotice> {
        let announcements = self.resent_announcements(now);
        announcements.filter_map(|announcement| self.releases.notice(&announcement.upstream))
    }
}
