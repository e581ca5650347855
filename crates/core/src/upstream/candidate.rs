//! Which of the known upstreams may take a request now.

use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Millis;

use super::choice::View;
use super::row::Row;
use super::rules::Rules;
use super::status::Usage;
use super::table::Absent;

/// Rows that may take the request now, and whether they have to be asked first.
pub(super) fn usable<'a>(
    rows: &'a Map<Upstream, Row>,
    view: &View<'_>,
) -> Result<(Vec<&'a Row>, bool), Absent> {
    let mut sorted = Sorted::default();
    for row in rows.values().filter(|row| row.offers(&view.wanted.kind)) {
        sorted.add(row, view);
    }
    sorted.cap(view.rules);
    sorted.best()
}

/// Rows of one kind by their usage.
#[derive(Default)]
struct Sorted<'a> {
    fresh: Vec<&'a Row>,
    stale: Vec<&'a Row>,
    ejected: Vec<(Millis, &'a Row)>,
    known: usize,
    full: bool,
}

impl<'a> Sorted<'a> {
    fn add(&mut self, row: &'a Row, view: &View<'_>) {
        self.known += 1;
        if view.wanted.avoid.contains(&row.said.upstream) {
            return;
        }
        let full = row.full(view.now, view.rules, view.routers);
        match row.usage(view.now, view.latest, view.rules, view.routers) {
            Usage::Leaving | Usage::Silent => {}
            // Without a sure view of the load, a full one is the last resort: it refuses by itself.
            Usage::Full if view.rules.passive => self.stale.push(row),
            Usage::Full => self.full = true,
            _ if full && !view.rules.passive => self.full = true,
            Usage::Used => self.fresh.push(row),
            Usage::Stale => self.stale.push(row),
            Usage::Ejected { until } => self.ejected.push((until, row)),
        }
    }

    /// Ejected rows above the cap count as stale: a router whose every upstream fails is likely cut
    /// off itself, and asking tells.
    fn cap(&mut self, rules: &Rules) {
        let most = self.known * rules.ejected as usize / 1_000;
        self.ejected
            .sort_by_key(|(until, row)| (*until, row.change));
        while self.ejected.len() > most {
            let (_, row) = self.ejected.remove(0);
            self.stale.push(row);
        }
    }

    /// Fresh rows come first; without one, stale rows are asked.
    fn best(self) -> Result<(Vec<&'a Row>, bool), Absent> {
        if self.known == 0 {
            return Err(Absent::NoneKnown);
        }
        if !self.fresh.is_empty() {
            return Ok((self.fresh, false));
        }
        if !self.stale.is_empty() {
            return Ok((self.stale, true));
        }
        match self.full {
            true => Err(Absent::Full),
            false => Err(Absent::NoneUsable),
        }
    }
}
