//! Pauses that upstreams ask this router for.

use crate::id::Upstream;
use crate::unit::Millis;

use super::AttemptId;
use super::ChoiceError;
use super::Pick;
use super::Table;
use crate::upstream::announce::Kind;
use crate::upstream::choice::random_index;
use crate::upstream::status::Availability;

/// Part of the time until the end of a pause over which the callers' returns after it are spread.
const SPREAD_DIVISOR: u64 = 4;
/// Bounds of that time: what a single upstream needs to take up requests again, and what a caller
/// may be told to wait for nothing.
const MIN_SPREAD: Millis = Millis(100);
const MAX_SPREAD: Millis = Millis(2_000);

impl Table {
    /// Applies the answer to an attempt, which asks for a pause of `length`. Returns its end, or
    /// `None` if the upstream has restarted since.
    pub fn observe_pause(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        length: Millis,
    ) -> Option<Millis> {
        let active = self.active.get(&attempt)?;
        let row = self.rows.get_mut(&active.upstream)?;
        if row.announcement.incarnation != active.incarnation {
            return None;
        }
        row.pause.ask(now, active.sent_at, length);
        row.pause.active_until(now)
    }

    /// Returns whether a chosen upstream still takes requests of this router: it has neither
    /// restarted nor announced since that it leaves, nor asked for a pause, nor stated another software
    /// version.
    pub fn may_send(&self, now: Millis, pick: &Pick) -> bool {
        let release = self.release(&pick.upstream, pick.incarnation);
        let is_same = pick.release.is_none() || pick.release.as_ref() == release;
        self.rows.get(&pick.upstream).is_some_and(|row| {
            is_same
                && row.announcement.incarnation == pick.incarnation
                && !row.is_leaving(now)
                && !row.evacuated
                && row.pause.active_until(now).is_none()
        })
    }

    /// Returns whether an upstream asked this router for a pause that has not ended.
    pub fn is_paused(&self, now: Millis, upstream: &Upstream) -> bool {
        let row = self.rows.get(upstream);
        row.is_some_and(|row| row.pause.active_until(now).is_some())
    }

    /// Returns the upstream of this kind whose pause ends first, and when it asked for it.
    pub fn first_paused(&self, now: Millis, kind: &Kind) -> Option<(&Upstream, Millis)> {
        let offering = self.rows.iter().filter(|(_, row)| row.offers(kind));
        let paused = offering.filter_map(|(upstream, row)| {
            let until = row.pause.active_until(now)?;
            Some((until, upstream, row.pause.asked_at()))
        });
        let first = paused.min();
        first.map(|(_, upstream, asked)| (upstream, asked))
    }

    /// Returns when a caller may retry if every upstream of this kind that might take a request is
    /// paused.
    pub fn find_all_paused(&mut self, now: Millis, kind: &Kind) -> Option<Millis> {
        let mut first = None;
        for row in self.rows.values().filter(|row| row.offers(kind)) {
            match row.availability(now, self.last_heard, &self.config, self.routers) {
                Availability::Paused { until } => {
                    first = Some(first.map_or(until, |first: Millis| first.min(until)));
                }
                Availability::Leaving | Availability::Evacuated | Availability::Unresponsive => {}
                Availability::Available
                | Availability::Full
                | Availability::Stale
                | Availability::Ejected { .. } => return None,
            }
        }
        Some(self.spread_return(now, first?))
    }

    /// Turns away a request for which every upstream is paused, the first of them until `until`.
    pub(super) fn defer(&mut self, now: Millis, until: Millis) -> ChoiceError {
        let until = self.spread_return(now, until);
        ChoiceError::Paused { until }
    }

    /// Returns when a caller may retry after a pause that ends at `until`. Callers are spread, so that
    /// they don't return together.
    fn spread_return(&mut self, now: Millis, until: Millis) -> Millis {
        let left = until.saturating_sub(now);
        let spread = Millis(left.0 / SPREAD_DIVISOR).clamp(MIN_SPREAD, MAX_SPREAD);
        let jitter = random_index(&mut self.rng, spread.0 as usize) as u64;
        until + Millis(jitter)
    }
}
