//! Selection of the upstreams that may take a request now.

use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Millis;

use super::choice::ChoiceContext;
use super::rate::RateBook;
use super::row::Row;
use super::status::Availability;
use super::table::ChoiceError;

/// Upstreams that may take a request now; at least one.
pub(super) struct Usable<'a> {
    pub rows: Vec<&'a Row>,
    /// Whether they have to be probed before.
    pub needs_probe: bool,
    /// Number of upstreams of the kind that asked this router for a pause.
    pub paused: u32,
}

/// Returns the upstreams that may take the request now. With `rates`, those that are at their rate
/// may not.
///
/// # Errors
///
/// Returns why there is none.
pub(super) fn usable<'a>(
    rows: &'a Map<Upstream, Row>,
    context: &ChoiceContext<'_>,
    rates: Option<&RateBook>,
) -> Result<Usable<'a>, ChoiceError> {
    let mut candidates = Candidates::default();
    for row in rows
        .values()
        .filter(|row| row.offers(&context.criteria.kind))
        .filter(|row| {
            let releases = context.releases;
            releases.allows(context.criteria, &row.announcement)
        })
    {
        candidates.add(row, context);
    }
    candidates.cap_ejected(context);
    if let Some(rates) = rates {
        candidates.remove_limited(rates, context);
    }
    candidates.preferred()
}

/// Upstreams of the wanted kind, by availability.
#[derive(Default)]
struct Candidates<'a> {
    /// Usable without a probe.
    fresh: Vec<&'a Row>,
    /// Usable after a probe.
    stale: Vec<&'a Row>,
    /// At the limit after a refusal for overload.
    limit_reached: Vec<&'a Row>,
    /// Ejected, with the time at which the ejection ends.
    ejected: Vec<(Millis, &'a Row)>,
    /// Number of upstreams of the kind, whatever their availability.
    known: usize,
    /// Whether at least one was left out because it is full.
    full: bool,
    /// Whether at least one was left out because it is at its rate.
    limited: bool,
    /// Number of those in evacuated data centres.
    evacuated: usize,
    /// Number of those that asked this router for a pause.
    paused: u32,
    /// When the first of these pauses ends.
    pause_end: Option<Millis>,
    /// Whether the request avoids one that would take another request.
    avoided: bool,
}

impl<'a> Candidates<'a> {
    /// Sorts an upstream in by its availability; one that is paused or evacuated, or that the request
    /// avoids, is only counted.
    fn add(&mut self, row: &'a Row, context: &ChoiceContext<'_>) {
        self.known += 1;
        let availability = row.availability(
            context.now,
            context.last_heard,
            context.config,
            context.routers,
        );
        if let Availability::Paused { until } = availability {
            self.paused += 1;
            self.pause_end = Some(self.pause_end.map_or(until, |end| end.min(until)));
            return;
        }
        if availability == Availability::Evacuated {
            self.evacuated += 1;
            return;
        }
        if context.criteria.avoid.contains(&row.announcement.upstream) {
            self.avoided |= availability == Availability::Available;
            return;
        }
        let full = row.is_full(context.now, context.config, context.routers);
        match availability {
            Availability::Leaving
            | Availability::Evacuated
            | Availability::Unresponsive
            | Availability::Paused { .. } => {}
            // Heartbeats carry no load, so a full upstream may have room again. It is the last
            // resort, since it refuses by itself if it is still full.
            Availability::Full if context.config.heartbeat_only => {
                match row.is_at_limit(context.now) {
                    true => self.limit_reached.push(row),
                    false => self.stale.push(row),
                }
            }
            Availability::Full => self.full = true,
            _ if full && !context.config.heartbeat_only => self.full = true,
            Availability::Available => self.fresh.push(row),
            Availability::Stale => self.stale.push(row),
            Availability::Ejected { until } => self.ejected.push((until, row)),
        }
    }

    /// Treats ejected upstreams above the allowed share as stale. A router for which every upstream
    /// fails is likely cut off itself, and a probe shows which it is. A stream that is tied to a
    /// software version can go nowhere else, so that for it all ejected ones are the last resort.
    fn cap_ejected(&mut self, context: &ChoiceContext<'_>) {
        let limit = match context.criteria.release {
            Some(_) => 0,
            None => (self.known - self.evacuated) * context.config.max_ejected as usize / 1_000,
        };
        self.ejected
            .sort_by_key(|(until, row)| (*until, row.revision));
        while self.ejected.len() > limit {
            let (_, row) = self.ejected.remove(0);
            self.stale.push(row);
        }
    }

    /// Removes the upstreams that get as many requests as they take.
    fn remove_limited(&mut self, rates: &RateBook, context: &ChoiceContext<'_>) {
        let count = self.usable_count();
        let has_room = |row: &&Row| {
            let upstream = &row.announcement.upstream;
            let priority = context.criteria.priority;
            rates.has_room(
                context.now,
                upstream,
                row.announcement.incarnation,
                priority,
            )
        };
        self.fresh.retain(has_room);
        self.stale.retain(has_room);
        self.limit_reached.retain(has_room);
        self.limited = self.usable_count() < count;
    }

    fn usable_count(&self) -> usize {
        self.fresh.len() + self.stale.len() + self.limit_reached.len()
    }

    /// Returns the fresh upstreams, or the stale ones if no fresh one is left, or else those that are
    /// at their limit.
    fn preferred(self) -> Result<Usable<'a>, ChoiceError> {
        if self.known == 0 {
            return Err(ChoiceError::NoneKnown);
        }
        if self.evacuated == self.known {
            return Err(ChoiceError::Evacuated);
        }
        let needs_probe = self.fresh.is_empty();
        let rows = match needs_probe {
            true if self.stale.is_empty() => self.limit_reached,
            true => self.stale,
            false => self.fresh,
        };
        if !rows.is_empty() {
            return Ok(Usable {
                rows,
                needs_probe,
                paused: self.paused,
            });
        }
        if self.limited {
            return Err(ChoiceError::RateLimited {
                until: Millis::ZERO,
            });
        }
        match self.pause_end {
            _ if self.full => Err(ChoiceError::Full),
            Some(until) if !self.avoided => Err(ChoiceError::Paused { until }),
            _ => Err(ChoiceError::NoneUsable),
        }
    }
}
