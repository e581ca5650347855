//! Which of the known upstreams may take a request now.

use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Millis;

use super::choice::ChoiceContext;
use super::config::TableConfig;
use super::row::Row;
use super::status::Availability;
use super::table::ChoiceError;

/// Rows that may take the request now, and whether they have to be asked first.
pub(super) fn usable<'a>(
    rows: &'a Map<Upstream, Row>,
    context: &ChoiceContext<'_>,
) -> Result<(Vec<&'a Row>, bool), ChoiceError> {
    let mut candidates = Candidates::default();
    for row in rows
        .values()
        .filter(|row| row.offers(&context.criteria.kind))
    {
        candidates.add(row, context);
    }
    candidates.cap_ejected(context.config);
    candidates.preferred()
}

/// Rows of one kind by their usage.
#[derive(Default)]
struct Candidates<'a> {
    fresh: Vec<&'a Row>,
    stale: Vec<&'a Row>,
    ejected: Vec<(Millis, &'a Row)>,
    known: usize,
    full: bool,
}

impl<'a> Candidates<'a> {
    fn add(&mut self, row: &'a Row, context: &ChoiceContext<'_>) {
        self.known += 1;
        if context.criteria.avoid.contains(&row.announcement.upstream) {
            return;
        }
        let full = row.is_full(context.now, context.config, context.routers);
        match row.availability(
            context.now,
            context.last_heard,
            context.config,
            context.routers,
        ) {
            Availability::Leaving | Availability::Unresponsive => {}
            // Without a sure context of the load, a full one is the last resort: it refuses by itself.
            Availability::Full if context.config.heartbeat_only => self.stale.push(row),
            Availability::Full => self.full = true,
            _ if full && !context.config.heartbeat_only => self.full = true,
            Availability::Available => self.fresh.push(row),
            Availability::Stale => self.stale.push(row),
            Availability::Ejected { until } => self.ejected.push((until, row)),
        }
    }

    /// Ejected rows above the cap count as stale: a router whose every upstream fails is likely cut
    /// off itself, and asking tells.
    fn cap_ejected(&mut self, config: &TableConfig) {
        let limit = self.known * config.max_ejected as usize / 1_000;
        self.ejected
            .sort_by_key(|(until, row)| (*until, row.revision));
        while self.ejected.len() > limit {
            let (_, row) = self.ejected.remove(0);
            self.stale.push(row);
        }
    }

    /// Fresh rows come first; without one, stale rows are asked.
    fn preferred(self) -> Result<(Vec<&'a Row>, bool), ChoiceError> {
        if self.known == 0 {
            return Err(ChoiceError::NoneKnown);
        }
        if !self.fresh.is_empty() {
            return Ok((self.fresh, false));
        }
        if !self.stale.is_empty() {
            return Ok((self.stale, true));
        }
        match self.full {
            true => Err(ChoiceError::Full),
            false => Err(ChoiceError::NoneUsable),
        }
    }
}
