//! Capacity of the known upstreams, by the kinds of requests that share them.

use crate::map::Map;
use crate::unit::Millis;

use super::announce::Kind;
use super::announce::Offer;
use super::config::TableConfig;
use super::row::Row;
use super::row::fair_share;
use super::status::Availability;
use super::status::Pool;

/// Groups the upstreams into pools: two kinds belong to one pool if an upstream offers both.
pub(super) fn pools<'a>(
    rows: impl Iterator<Item = &'a Row>,
    now: Millis,
    config: &TableConfig,
    routers: u32,
) -> Vec<Pool> {
    let mut pools: Vec<Option<Pool>> = Vec::new();
    let mut index: Map<Kind, usize> = Map::default();
    for row in rows {
        let kinds = offered_kinds(&row.announcement.offer);
        let slots = capacity(row, now, config, routers);
        let mut merged = Pool { kinds, slots };
        let overlapping: Vec<usize> = merged
            .kinds
            .iter()
            .filter_map(|kind| index.get(kind).copied())
            .collect();
        for old in overlapping {
            if let Some(pool) = pools[old].take() {
                merge(&mut merged, pool);
            }
        }
        for kind in &merged.kinds {
            index.insert(kind.clone(), pools.len());
        }
        pools.push(Some(merged));
    }
    pools.into_iter().flatten().collect()
}

/// Adds the slots and kinds of `source` to `target`.
fn merge(target: &mut Pool, source: Pool) {
    target.slots = target.slots.saturating_add(source.slots);
    for kind in source.kinds {
        if !target.kinds.contains(&kind) {
            target.kinds.push(kind);
        }
    }
}

/// Number of requests that this router may run on an upstream: at least its fair share of the
/// slots, and otherwise its own attempts and half of the free slots, since the other routers see
/// the same slots free.
fn capacity(row: &Row, now: Millis, config: &TableConfig, routers: u32) -> u32 {
    match row.availability(now, now, config, routers) {
        Availability::Leaving | Availability::Evacuated | Availability::Unresponsive => return 0,
        Availability::Ejected { .. } | Availability::Paused { .. } => return row.in_flight,
        Availability::Available | Availability::Full | Availability::Stale => {}
    }
    let slots = row.announcement.slots;
    let fair = fair_share(slots, routers);
    let free = slots.saturating_sub(row.estimated_load(config));
    let wanted = row.in_flight.saturating_add(free.div_ceil(2));
    fair.max(wanted).min(slots)
}

/// Returns the distinct kinds of requests that an offer covers.
fn offered_kinds(offer: &Offer) -> Vec<Kind> {
    match offer {
        Offer::Models(models) => {
            let mut kinds = Vec::with_capacity(models.len());
            for loaded in models {
                let kind = Kind::Model(loaded.model.clone(), loaded.adapter.clone());
                if !kinds.contains(&kind) {
                    kinds.push(kind);
                }
            }
            kinds
        }
        Offer::Service(service) => vec![Kind::Service(service.clone())],
    }
}
