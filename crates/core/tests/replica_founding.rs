//! Exhaustive search over the bootstrap of a group of three: all orders of greetings, of
//! replication of a group's first entry, and of two lost disks.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Bootstrap;
use chestnutnotch_core::replica::Hello;
use chestnutnotch_core::replica::HelloRound;
use pathfinding::prelude::bfs;

/// Number of replicas that the group has, each in a slot with a fixed address.
const SLOTS: u16 = 3;

/// The replica in a slot. When a round of greetings is complete, the bootstrap rule is evaluated
/// anew from the last two rounds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Slot {
    id: u64,
    /// Responses of the last complete round, by slot: identity of the replica, and whether it is
    /// blank.
    last_round: BTreeMap<u16, (u64, bool)>,
    /// Responses so far of the current round.
    current_round: BTreeMap<u16, (u64, bool)>,
    /// Members of the group that this replica has founded, if any.
    founded: Option<BTreeSet<u64>>,
    /// Founder of the group whose first entry is durable on this replica.
    synced_group: Option<u64>,
}

/// State of the simulation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    slots: BTreeMap<u16, Slot>,
    /// For each founder the members of its group, and the replicas on which the group's first entry
    /// became durable, including lost ones.
    groups: BTreeMap<u64, (BTreeSet<u64>, BTreeSet<u64>)>,
    /// Replicas that have lost their disk.
    lost: BTreeSet<u64>,
    /// Identities of the replicas that replace lost ones; the last one is used first.
    new_ids: Vec<u64>,
}

fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], slot))
}

fn blank_slot(id: u64) -> Slot {
    Slot {
        id,
        last_round: BTreeMap::new(),
        current_round: BTreeMap::new(),
        founded: None,
        synced_group: None,
    }
}

fn is_blank(slot: &Slot) -> bool {
    slot.founded.is_none() && slot.synced_group.is_none()
}

/// Converts responses to the round that the bootstrap rule evaluates.
fn hello_round(answers: &BTreeMap<u16, (u64, bool)>) -> HelloRound {
    let hello = |slot, id, blank| Hello {
        id: ReplicaId(id),
        blank,
        joins: blank,
        founds: true,
        address: address(slot),
    };
    let answer = |(slot, (id, blank)): (&u16, &(u64, bool))| {
        (address(*slot), Some(hello(*slot, *id, *blank)))
    };
    answers.iter().map(answer).collect()
}

/// Evaluates the bootstrap rule on the last two rounds or, with `one_round`, on the last one twice.
fn observe_rounds(slot: &Slot, one_round: bool) -> Option<BTreeSet<u64>> {
    let own = ReplicaId(slot.id);
    let mut bootstrap = Bootstrap::default();
    let first = if one_round {
        &slot.current_round
    } else {
        &slot.last_round
    };
    bootstrap.observe(own, &hello_round(first));
    let members = bootstrap.observe(own, &hello_round(&slot.current_round))?;
    Some(members.voters().map(|id| id.0).collect())
}

/// Greets one replica, and ends the round if all have responded.
fn greet(world: &mut World, from: u16, to: u16, one_round: bool) {
    let (id, blank) = (world.slots[&to].id, is_blank(&world.slots[&to]));
    let slot = world.slots.get_mut(&from).unwrap();
    if !is_blank(slot) || slot.current_round.contains_key(&to) {
        return;
    }
    // A round with such a response founds no group, nor does it count as the first of two rounds.
    if !blank || id < slot.id {
        slot.current_round.clear();
        slot.last_round.clear();
        return;
    }
    slot.current_round.insert(to, (id, blank));
    slot.current_round.insert(from, (slot.id, true));
    if slot.current_round.len() < usize::from(SLOTS) {
        return;
    }
    slot.founded = observe_rounds(slot, one_round);
    slot.last_round = std::mem::take(&mut slot.current_round);
    if let Some(members) = slot.founded.clone() {
        world.groups.insert(slot.id, (members, BTreeSet::new()));
    }
}

/// Makes the first entry of a group durable on a member while the founder exists. A replica does
/// this for one group only: afterwards it votes for no candidate whose log is not up to date, such
/// as the founder of another group.
fn sync_first_entry(world: &mut World, at: u16, founder: u64) {
    let alive = world.slots.values().any(|slot| slot.id == founder);
    let slot = world.slots.get_mut(&at).unwrap();
    let (members, synced_by) = world.groups.get_mut(&founder).unwrap();
    if alive && slot.synced_group.is_none() && members.contains(&slot.id) {
        slot.synced_group = Some(founder);
        synced_by.insert(slot.id);
    }
}

/// Replaces a replica by a blank one, as if it had lost its disk.
fn lose_disk(world: &mut World, at: u16) {
    if let Some(id) = world.new_ids.pop() {
        let old = world.slots.insert(at, blank_slot(id)).unwrap();
        world.lost.insert(old.id);
    }
}

fn successors(world: &World, one_round: bool) -> Vec<World> {
    let mut next = Vec::new();
    let mut add = |change: &dyn Fn(&mut World)| {
        let mut after = world.clone();
        change(&mut after);
        if after != *world {
            next.push(after);
        }
    };
    for at in 0..SLOTS {
        (0..SLOTS).for_each(|to| add(&|w| greet(w, at, to, one_round)));
        world
            .groups
            .keys()
            .for_each(|founder| add(&|w| sync_first_entry(w, at, *founder)));
        add(&|w| lose_disk(w, at));
    }
    next
}

/// Whether two groups have committed their first entry, although each lost at most one of the disks
/// that held it.
fn is_split(world: &World) -> bool {
    let is_committed = |synced_by: &BTreeSet<u64>| {
        synced_by.len() > 1 && synced_by.intersection(&world.lost).count() < 2
    };
    let groups = world.groups.values();
    groups
        .filter(|(_, synced_by)| is_committed(synced_by))
        .count()
        > 1
}

fn search(name: &str, new_ids: [u64; 2], one_round: bool) -> bool {
    let start = World {
        slots: [(0, blank_slot(2)), (1, blank_slot(3)), (2, blank_slot(4))].into(),
        groups: BTreeMap::new(),
        lost: BTreeSet::new(),
        new_ids: new_ids.into(),
    };
    let states = Cell::new(0);
    let next = |world: &World| {
        states.set(states.get() + 1);
        successors(world, one_round)
    };
    let split = bfs(&start, next, is_split).is_some();
    println!("{name}: {} states, split {split}", states.get());
    split
}

macro_rules! cases {
    ($($name:ident: new_ids $new_ids:expr, one_round $one_round:literal, split $split:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(search(stringify!($name), $new_ids, $one_round), $split);
            }
        )*
    };
}

cases! {
    two_rounds_with_low_and_high: new_ids [5, 1], one_round false, split false;
    two_rounds_with_low_and_lower: new_ids [0, 1], one_round false, split false;
    one_round_splits: new_ids [5, 1], one_round true, split true;
}
