//! The incarnations of routers, by the host they run on.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Join;
use crate::command::Retire;
use crate::id::DataCentre;
use crate::id::Host;
use crate::id::RouterId;
use crate::map::Map;
use crate::unit::Incarnation;

/// Most hosts; a join of a further one is refused.
const MAX_HOSTS: usize = 10_000;

/// Most process starts remembered for a host, so that a late resend of a join is recognised.
const MAX_STARTS_PER_HOST: usize = 8;

/// All hosts that a router ever joined from.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Hosts {
    slots: Map<Host, Slot>,
}

/// One host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Slot {
    /// Data centre named by the latest join.
    centre: Option<DataCentre>,
    /// Latest incarnation.
    last: Incarnation,
    /// Whether the latest incarnation neither left nor was retired.
    open: bool,
    /// Latest process starts, oldest first.
    starts: VecDeque<Start>,
}

/// A process start, told apart by the random number in its join.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Start {
    nonce: u64,
    incarnation: Incarnation,
}

/// Outcome of a join.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum JoinOutcome {
    /// A new incarnation, and the incarnation that it replaces, if that was open.
    New(Incarnation, Option<RouterId>),
    /// A resend of the join of the open incarnation.
    Resent(Incarnation),
    /// A resend of the join of a closed incarnation.
    Closed(Incarnation),
    /// The number of hosts is at its bound.
    Full,
}

impl Hosts {
    /// Opens a new incarnation on a host, unless the join is a resend.
    pub fn join(&mut self, join: &Join) -> JoinOutcome {
        if !self.slots.contains_key(&join.host) && self.slots.len() >= MAX_HOSTS {
            return JoinOutcome::Full;
        }
        let slot = self.slots.entry(join.host.clone()).or_default();
        let earlier = slot.starts.iter().find(|start| start.nonce == join.nonce);
        if let Some(start) = earlier {
            let is_open = slot.open && start.incarnation == slot.last;
            return match is_open {
                true => JoinOutcome::Resent(start.incarnation),
                false => JoinOutcome::Closed(start.incarnation),
            };
        }
        let replaced = slot.open.then(|| router_id(&join.host, slot.last));
        slot.last = slot.last.next();
        slot.open = true;
        slot.centre = Some(join.centre.clone());
        slot.starts.push_back(Start {
            nonce: join.nonce,
            incarnation: slot.last,
        });
        if slot.starts.len() > MAX_STARTS_PER_HOST {
            slot.starts.pop_front();
        }
        JoinOutcome::New(slot.last, replaced)
    }

    /// Closes the open incarnation of a host and returns it. Does nothing if that incarnation is
    /// later than the one that the command names.
    pub fn retire(&mut self, retire: &Retire) -> Option<RouterId> {
        let slot = self.slots.get_mut(&retire.host)?;
        let is_later = retire.last.is_some_and(|last| slot.last > last);
        if !slot.open || is_later {
            return None;
        }
        slot.open = false;
        Some(router_id(&retire.host, slot.last))
    }

    /// Closes the incarnation of a router that has stopped.
    pub fn leave(&mut self, router: &RouterId) {
        if let Some(slot) = self.slots.get_mut(&router.host) {
            slot.open &= slot.last != router.incarnation;
        }
    }

    /// Returns whether a router has joined from this data centre.
    pub fn has_centre(&self, centre: &DataCentre) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| slot.centre.as_ref() == Some(centre))
    }

    /// Returns the open routers with their data centres, in order.
    pub fn open_routers(&self) -> Vec<(RouterId, DataCentre)> {
        let mut routers: Vec<(RouterId, DataCentre)> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.open)
            .filter_map(|(host, slot)| Some((router_id(host, slot.last), slot.centre.clone()?)))
            .collect();
        routers.sort();
        routers
    }
}

fn router_id(host: &Host, incarnation: Incarnation) -> RouterId {
    RouterId {
        host: host.clone(),
        incarnation,
    }
}
