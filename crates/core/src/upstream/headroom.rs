//! Headroom: how many more attempts of this router the upstreams of a service take now.
//!
//! Load pattern: bursts beyond what all upstreams of a service take. An upstream whose slots are taken
//! queues a few requests by itself, so that it counts as full only once it refuses.

use crate::unit::Millis;

use super::row::Row;
use super::status::Availability;

/// How many more attempts of this router the upstreams of a service take now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Headroom {
    /// At least one has not refused for overload lately.
    Open,
    /// All usable ones refused for overload lately.
    Limited {
        /// Attempts that they take now.
        free: u32,
        /// Number of those that take none now, whatever ends, and are tried again later.
        closed: u32,
        /// When the first of those is tried again.
        opens_at: Option<Millis>,
    },
    /// None is usable, for reasons other than overload.
    None,
}

/// Limit of this router's attempts at an upstream that has refused for overload.
///
/// It is the number that was in flight beside the refused one. It grows with each completed attempt
/// once a while has passed, and ends when the upstream has refused nothing for [`LIMIT_TTL`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OverloadLimit(Option<Refused>);

#[derive(Clone, Copy, Debug)]
struct Refused {
    /// Most attempts in flight.
    limit: u32,
    /// When the upstream last refused.
    at: Millis,
    /// When one attempt is allowed in any case, and the limit may grow.
    reopens_at: Millis,
    /// Time from the refusal to `reopens_at`; zero if an attempt was completed since.
    pause: Millis,
}

/// Time after the last refusal from which on an upstream is not limited any more.
const LIMIT_TTL: Millis = Millis(2_000);

impl OverloadLimit {
    /// Records a refusal for overload beside this many attempts in flight. `least` and `most` bound
    /// the time until another attempt is allowed in any case, which doubles with each refusal of one
    /// that was allowed so.
    pub fn record_overload(
        &mut self,
        now: Millis,
        in_flight: u32,
        (least, most): (Millis, Millis),
    ) {
        let last = self.0.filter(|last| now < last.at + LIMIT_TTL);
        let pause = match last {
            Some(last) if now >= last.reopens_at => Millis(last.pause.0 * 2),
            Some(last) => last.pause,
            None => Millis::ZERO,
        };
        let pause = pause.max(least).min(most);
        // The refusals of one burst arrive one by one, while attempts that will be refused still
        // count as in flight.
        let known = self.limit(now).unwrap_or(u32::MAX);
        self.0 = Some(Refused {
            limit: known.min(in_flight),
            at: now,
            reopens_at: now + pause,
            pause,
        });
    }

    /// Records a completed attempt.
    pub fn record_success(&mut self, now: Millis) {
        if let Some(refused) = &mut self.0
            && now >= refused.reopens_at
        {
            refused.limit = refused.limit.saturating_add(1);
            refused.pause = Millis::ZERO;
        }
    }

    /// Returns the most attempts that may be in flight; `None` for any number.
    pub fn limit(&self, now: Millis) -> Option<u32> {
        let refused = self.0.filter(|refused| now < refused.at + LIMIT_TTL)?;
        match now < refused.reopens_at {
            true => Some(refused.limit),
            false => Some(refused.limit.max(1)),
        }
    }

    /// Returns when an attempt is allowed, if none is now whatever ends.
    fn closed_until(&self, now: Millis) -> Option<Millis> {
        let refused = self.0?;
        (self.limit(now) == Some(0)).then_some(refused.reopens_at)
    }
}

/// Adds up the headroom of the upstreams of a service, each with its availability.
pub(super) fn headroom<'a>(
    rows: impl Iterator<Item = (&'a Row, Availability)>,
    now: Millis,
) -> Headroom {
    let (mut usable, mut free, mut closed, mut opens_at) = (false, 0_u32, 0, None);
    for (row, availability) in rows {
        match availability {
            Availability::Available | Availability::Full | Availability::Stale => {}
            Availability::Leaving
            | Availability::Evacuated
            | Availability::Paused { .. }
            | Availability::Unresponsive
            | Availability::Ejected { .. } => continue,
        }
        let Some(limit) = row.overload.limit(now) else {
            return Headroom::Open;
        };
        usable = true;
        free = free.saturating_add(limit.saturating_sub(row.in_flight));
        if let Some(until) = row.overload.closed_until(now) {
            closed += 1;
            opens_at = Some(opens_at.map_or(until, |first: Millis| first.min(until)));
        }
    }
    match usable {
        true => Headroom::Limited {
            free,
            closed,
            opens_at,
        },
        false => Headroom::None,
    }
}
