//! Routers by the host they run on.

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

/// Most hosts.
const MAX_HOSTS: usize = 10_000;

/// Starts of a host that are remembered, so that a late resend of a join is recognised.
const MAX_STARTS: usize = 8;

/// All hosts that ever joined.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Hosts {
    slots: Map<Host, Slot>,
}

#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Slot {
    centre: Option<DataCentre>,
    last: Incarnation,
    open: bool,
    starts: VecDeque<Start>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Start {
    nonce: u64,
    incarnation: Incarnation,
}

/// Outcome of a join.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Joined {
    /// A new incarnation, and the one that it replaces, if that was open.
    New(Incarnation, Option<RouterId>),
    /// A resend of the join of the open incarnation.
    Known(Incarnation),
    /// A resend of the join of a closed incarnation.
    Closed(Incarnation),
    /// No room for another host.
    Full,
}

impl Hosts {
    pub fn join(&mut self, join: &Join) -> Joined {
        if !self.slots.contains_key(&join.host) && self.slots.len() >= MAX_HOSTS {
            return Joined::Full;
        }
        let slot = self.slots.entry(join.host.clone()).or_default();
        let known = slot.starts.iter().find(|start| start.nonce == join.nonce);
        if let Some(start) = known {
            let is_open = slot.open && start.incarnation == slot.last;
            return match is_open {
                true => Joined::Known(start.incarnation),
                false => Joined::Closed(start.incarnation),
            };
        }
        let replaced = slot.open.then(|| router(&join.host, slot.last));
        slot.last = slot.last.next();
        slot.open = true;
        slot.centre = Some(join.centre.clone());
        slot.starts.push_back(Start {
            nonce: join.nonce,
            incarnation: slot.last,
        });
        if slot.starts.len() > MAX_STARTS {
            slot.starts.pop_front();
        }
        Joined::New(slot.last, replaced)
    }

    /// Closes the open incarnation of a host, unless it is later than the one meant.
    pub fn retire(&mut self, retire: &Retire) -> Option<RouterId> {
        let slot = self.slots.get_mut(&retire.host)?;
        let is_later = retire.last.is_some_and(|last| slot.last > last);
        if !slot.open || is_later {
            return None;
        }
        slot.open = false;
        Some(router(&retire.host, slot.last))
    }

    /// Notes that a router has stopped.
    pub fn leave(&mut self, router: &RouterId) {
        if let Some(slot) = self.slots.get_mut(&router.host) {
            slot.open &= slot.last != router.incarnation;
        }
    }

    /// Routers that are open, with their data centres, in order.
    pub fn open(&self) -> Vec<(RouterId, DataCentre)> {
        let mut routers: Vec<(RouterId, DataCentre)> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.open)
            .filter_map(|(host, slot)| Some((router(host, slot.last), slot.centre.clone()?)))
            .collect();
        routers.sort();
        routers
    }
}

fn router(host: &Host, incarnation: Incarnation) -> RouterId {
    RouterId {
        host: host.clone(),
        incarnation,
    }
}
