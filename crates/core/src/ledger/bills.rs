//! Bills by request, kept for a retention time so that each request is billed once.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Bill;
use crate::id::Holder;
use crate::id::RequestId;
use crate::map::Map;
use crate::unit::Millis;

/// Retention of bills, by the leaders' timestamps.
pub const BILL_RETENTION_MILLIS: Millis = Millis(24 * 60 * 60 * 1_000);

/// Most bills kept; beyond it the oldest are dropped before their retention ends.
pub const MAX_BILLS: usize = 2_000_000;

/// Most further attempts remembered for one request.
const MAX_MERGED_ATTEMPTS: usize = 64;

/// Most expired entries that one command drops, which bounds the time that it takes.
const MAX_PRUNED_ENTRIES: usize = 256;

/// All bills within the retention time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Bills {
    entries: Map<RequestId, Entry>,
    /// Requests by the time of their first bill.
    order: BTreeSet<(Millis, RequestId)>,
}

/// The bills of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Entry {
    /// The first bill, the only one that counts as billed.
    bill: Bill,
    /// Holder and number of each further attempt that sent a bill.
    merged: Vec<(Holder, u64)>,
}

/// Outcome of an insertion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Insertion {
    /// The request's first bill.
    First,
    /// The first bill of another attempt at the same request.
    OtherAttempt,
    /// A resent bill.
    Duplicate,
}

impl Bills {
    /// Inserts a bill, stamped with the time of its command.
    pub fn insert(&mut self, at: Millis, bill: &Bill) -> Insertion {
        let Some(entry) = self.entries.get_mut(&bill.id) else {
            self.order.insert((at, bill.id.clone()));
            let entry = Entry {
                bill: bill.clone(),
                merged: Vec::new(),
            };
            self.entries.insert(bill.id.clone(), entry);
            return Insertion::First;
        };
        entry.merge(bill)
    }

    /// Whether the bill of this attempt was inserted before.
    pub fn contains(&self, bill: &Bill) -> bool {
        let entry = self.entries.get(&bill.id);
        entry.is_some_and(|entry| entry.contains(bill))
    }

    /// Returns the first bill of a request.
    pub fn get(&self, id: &RequestId) -> Option<&Bill> {
        self.entries.get(id).map(|entry| &entry.bill)
    }

    /// Drops entries that are past their retention or beyond [`MAX_BILLS`].
    pub fn prune(&mut self, now: Millis) {
        for _ in 0..MAX_PRUNED_ENTRIES {
            let Some((at, _)) = self.order.first() else {
                return;
            };
            let is_expired = *at + BILL_RETENTION_MILLIS < now;
            if !is_expired && self.order.len() <= MAX_BILLS {
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

    fn merge(&mut self, bill: &Bill) -> Insertion {
        if self.contains(bill) {
            return Insertion::Duplicate;
        }
        if self.merged.len() < MAX_MERGED_ATTEMPTS {
            self.merged.push((bill.holder.clone(), bill.attempt));
        }
        Insertion::OtherAttempt
    }
}
