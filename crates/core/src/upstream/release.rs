//! Software versions of upstreams.
//!
//! A version belongs to one start of an upstream. A start that stated several has none: what it
//! serves can't be told. Notices of one upstream can be merged in any order and any number of times.
//!
//! An upstream may start again at its address, and the router may not hear of it. Once the address
//! refused a connection, the last known start is in doubt: its version counts as unknown at this
//! router until heartbeats show that the start ran on.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Release;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::announce::Announcement;
use super::announce::Phase;
use super::table::Criteria;
use super::table::HEARTBEAT_LAG;

/// Longest software version, in bytes, so that notices of many upstreams fit in a packet.
pub const MAX_RELEASE_BYTES: usize = 64;

/// Most notices in one item of gossip.
pub const MAX_NOTICES: usize = 16;

/// Minimum time between the two heartbeats that end a doubt. A router that was cut off may get old
/// ones late, but it gets them at about the same time.
const CONFIRM_GAP: Millis = Millis(500);

/// The software version of one start of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseNotice {
    /// The upstream.
    pub upstream: Upstream,
    /// Its start.
    pub incarnation: Incarnation,
    /// The version; `None` if the start stated several.
    pub release: Option<Release>,
}

impl ReleaseNotice {
    /// Returns whether an upstream can have stated this.
    fn is_valid(&self) -> bool {
        self.release.as_ref().is_none_or(is_valid)
    }
}

/// Returns whether a text can be a software version: 1 to [`MAX_RELEASE_BYTES`] bytes without control
/// characters.
pub fn is_valid(release: &Release) -> bool {
    let text = release.as_str();
    (1..=MAX_RELEASE_BYTES).contains(&text.len()) && !text.chars().any(char::is_control)
}

/// The software versions that a node knows.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseBook {
    known: Map<Upstream, KnownRelease>,
    /// Starts that may have ended.
    doubts: Map<Upstream, Doubt>,
}

/// Evidence that a start may have ended.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    incarnation: Incarnation,
    /// When its address last refused a connection.
    refused_at: Millis,
    /// When the first heartbeat arrived that was sent later.
    heard_at: Option<Millis>,
}

#[derive(Clone, Debug)]
struct KnownRelease {
    incarnation: Incarnation,
    release: Option<Release>,
    heard_at: Millis,
}

impl ReleaseBook {
    /// Applies a notice. Returns whether it was news. With `limit` upstreams known, further ones are
    /// ignored.
    pub fn observe(&mut self, now: Millis, notice: &ReleaseNotice, limit: usize) -> bool {
        if !notice.is_valid() {
            return false;
        }
        let is_full = self.known.len() >= limit;
        let release = match self.known.get_mut(&notice.upstream) {
            None if is_full => return false,
            Some(known) if known.incarnation > notice.incarnation => return false,
            Some(known) if known.incarnation == notice.incarnation => {
                known.heard_at = now;
                match known.release == notice.release || known.release.is_none() {
                    true => return false,
                    false => None,
                }
            }
            _ => notice.release.clone(),
        };
        let known = KnownRelease {
            incarnation: notice.incarnation,
            release,
            heard_at: now,
        };
        self.known.insert(notice.upstream.clone(), known);
        true
    }

    /// Records that the address of a start refused a connection. Returns whether the start was not
    /// in doubt before.
    pub fn doubt(&mut self, now: Millis, upstream: &Upstream, incarnation: Incarnation) -> bool {
        let is_new = !self.is_doubted(upstream, incarnation);
        let doubt = Doubt {
            incarnation,
            refused_at: now,
            heard_at: None,
        };
        self.doubts.insert(upstream.clone(), doubt);
        is_new
    }

    /// Applies a heartbeat of a start. The second one that was sent after the evidence ends a doubt.
    pub fn confirm(&mut self, now: Millis, upstream: &Upstream, incarnation: Incarnation) {
        let Some(doubt) = self.doubts.get_mut(upstream) else {
            return;
        };
        if doubt.incarnation != incarnation || now < doubt.refused_at + HEARTBEAT_LAG {
            return;
        }
        match doubt.heard_at {
            None => doubt.heard_at = Some(now),
            Some(first) if now < first + CONFIRM_GAP => {}
            Some(_) => {
                self.doubts.remove(upstream);
            }
        }
    }

    /// Returns whether a start may have ended, so that another one may be at its address.
    fn is_doubted(&self, upstream: &Upstream, incarnation: Incarnation) -> bool {
        let doubt = self.doubts.get(upstream);
        doubt.is_some_and(|doubt| doubt.incarnation == incarnation)
    }

    /// Returns the version that a start stated, also if the start may have ended.
    fn stated(&self, upstream: &Upstream, incarnation: Incarnation) -> Option<&Release> {
        let known = self.known.get(upstream)?;
        let release = known.release.as_ref();
        release.filter(|_| known.incarnation == incarnation)
    }

    /// Returns the version of the software at the address of a start, if it is known.
    pub fn get(&self, upstream: &Upstream, incarnation: Incarnation) -> Option<&Release> {
        let stated = self.stated(upstream, incarnation);
        stated.filter(|_| !self.is_doubted(upstream, incarnation))
    }

    /// Returns whether a request may go to an upstream by its software version. A request that is tied
    /// to one goes only where that version is known to run, and not to upstreams that leave: whether
    /// any other is left then shows whether it can be served at all.
    pub fn allows(&self, criteria: &Criteria, announcement: &Announcement) -> bool {
        let Some(wanted) = &criteria.release else {
            return true;
        };
        let known = self.get(&announcement.upstream, announcement.incarnation);
        known == Some(wanted) && announcement.phase == Phase::Ready
    }

    /// Returns whether an upstream may take a request that is tied to a software version once the
    /// doubt of its start has ended.
    pub fn may_allow(&self, criteria: &Criteria, announcement: &Announcement) -> bool {
        let stated = self.stated(&announcement.upstream, announcement.incarnation);
        criteria.release.is_some()
            && stated == criteria.release.as_ref()
            && announcement.phase == Phase::Ready
    }

    /// Returns what is known of an upstream, for nodes that missed it.
    pub fn notice(&self, upstream: &Upstream) -> Option<ReleaseNotice> {
        let known = self.known.get(upstream)?;
        Some(ReleaseNotice {
            upstream: upstream.clone(),
            incarnation: known.incarnation,
            release: known.release.clone(),
        })
    }

    /// Removes the upstreams that are not in use and were not heard of since `oldest`. A notice may
    /// arrive before the announcement of its upstream.
    pub fn retain(&mut self, oldest: Millis, is_used: impl Fn(&Upstream) -> bool) {
        self.known
            .retain(|upstream, known| known.heard_at >= oldest || is_used(upstream));
        self.doubts.retain(|upstream, _| is_used(upstream));
    }
}
