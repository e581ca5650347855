//! Bills by request: a grow-only set within its horizon.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Bill;
use crate::id::Holder;
use crate::id::RequestId;
use crate::map::Map;
use crate::unit::Millis;

/// How long a bill is known by its request, by the leaders' stamps.
pub const BILL_HORIZON_MILLIS: Millis = Millis(24 * 60 * 60 * 1_000);

/// Most bills known by their requests.
pub const MAX_BILLS: usize = 2_000_000;

/// Most merged attempts remembered for one request.
const MAX_MERGED: usize = 64;

/// Most entries that one command drops.
const PRUNE_BATCH: usize = 256;

/// All bills within the horizon.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Bills {
    entries: Map<RequestId, Entry>,
    /// Requests by the time of their first bill.
    order: BTreeSet<(Millis, RequestId)>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Entry {
    bill: Bill,
    merged: Vec<(Holder, u64)>,
}

/// What a bill is to the set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Novelty {
    /// The request's first bill.
    First,
    /// The bill of another attempt, not seen before.
    Other,
    /// Seen before.
    Known,
}

impl Bills {
    /// Takes in a bill.
    pub fn insert(&mut self, at: Millis, bill: &Bill) -> Novelty {
        let Some(entry) = self.entries.get_mut(&bill.id) else {
            self.order.insert((at, bill.id.clone()));
            let entry = Entry {
                bill: bill.clone(),
                merged: Vec::new(),
            };
            self.entries.insert(bill.id.clone(), entry);
            return Novelty::First;
        };
        entry.merge(bill)
    }

    /// Whether this very bill was taken before.
    pub fn knows(&self, bill: &Bill) -> bool {
        let entry = self.entries.get(&bill.id);
        entry.is_some_and(|entry| entry.contains(bill))
    }

    /// The bill of a request.
    pub fn get(&self, id: &RequestId) -> Option<&Bill> {
        self.entries.get(id).map(|entry| &entry.bill)
    }

    /// Drops entries that are past the horizon.
    pub fn prune(&mut self, now: Millis) {
        for _ in 0..PRUNE_BATCH {
            let Some((at, _)) = self.order.first() else {
                return;
            };
            let is_old = *at + BILL_HORIZON_MILLIS < now;
            if !is_old && self.order.len() <= MAX_BILLS {
                return;
            }
            if let Some((_, id)) = self.order.pop_first() {
                self.entries.remove(&id);
            }
        }
    }
}

impl Entry {
    fn contains(&self, bill: &Bill) -> bool {
        let is_first = self.bill.holder == bill.holder && self.bill.attempt == bill.attempt;
        let mut merged = self.merged.iter();
        is_first
            || merged.any(|(holder, attempt)| *holder == bill.holder && *attempt == bill.attempt)
    }

    fn merge(&mut self, bill: &Bill) -> Novelty {
        if self.contains(bill) {
            return Novelty::Known;
        }
        if self.merged.len() < MAX_MERGED {
            self.merged.push((bill.holder.clone(), bill.attempt));
        }
        Novelty::Other
    }
}
