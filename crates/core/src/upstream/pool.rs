//! How much work the known upstreams can run, by the kinds of work that share them.

use crate::map::Map;
use crate::unit::Millis;

use super::announce::Kind;
use super::announce::Offer;
use super::row::Row;
use super::row::even;
use super::rules::Rules;
use super::status::Pool;
use super::status::Usage;

/// Pools of the given rows: kinds belong to one pool if an upstream offers both.
pub(super) fn pools<'a>(
    rows: impl Iterator<Item = &'a Row>,
    now: Millis,
    rules: &Rules,
    routers: u32,
) -> Vec<Pool> {
    let mut pools: Vec<Option<Pool>> = Vec::new();
    let mut index: Map<Kind, usize> = Map::default();
    for row in rows {
        let kinds = kinds(&row.said.offer);
        let slots = room(row, now, rules, routers);
        let mut joined = Pool { kinds, slots };
        let touched: Vec<usize> = joined
            .kinds
            .iter()
            .filter_map(|kind| index.get(kind).copied())
            .collect();
        for old in touched {
            if let Some(pool) = pools[old].take() {
                merge(&mut joined, pool);
            }
        }
        for kind in &joined.kinds {
            index.insert(kind.clone(), pools.len());
        }
        pools.push(Some(joined));
    }
    pools.into_iter().flatten().collect()
}

fn merge(into: &mut Pool, from: Pool) {
    into.slots = into.slots.saturating_add(from.slots);
    for kind in from.kinds {
        if !into.kinds.contains(&kind) {
            into.kinds.push(kind);
        }
    }
}

/// How many requests this router may have on an upstream: its even part at least, and half of what
/// seems free besides, since all routers see the same free slots.
fn room(row: &Row, now: Millis, rules: &Rules, routers: u32) -> u32 {
    match row.usage(now, now, rules, routers) {
        Usage::Leaving | Usage::Silent => return 0,
        Usage::Ejected { .. } => return row.flying,
        Usage::Used | Usage::Full | Usage::Stale => {}
    }
    let slots = row.said.slots;
    let even = even(slots, routers);
    let free = slots.saturating_sub(row.taken(rules));
    let claim = row.flying.saturating_add(free.div_ceil(2));
    even.max(claim).min(slots)
}

fn kinds(offer: &Offer) -> Vec<Kind> {
    match offer {
        Offer::Models(all) => {
            let mut kinds = Vec::with_capacity(all.len());
            for one in all {
                let kind = Kind::Model(one.model.clone(), one.adapter.clone());
                if !kinds.contains(&kind) {
                    kinds.push(kind);
                }
            }
            kinds
        }
        Offer::Service(one) => vec![Kind::Service(one.clone())],
    }
}
