//! Exhaustive search over the founding of a group of three: every order of greetings, support for a
//! founder, and two lost disks.
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

const SLOTS: u16 = 3;

/// A replica in a slot. The founding rule itself is run again from the rounds when one is complete.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Slot {
    id: u64,
    /// Answers of the last complete round and of the one under way: identity, and whether blank.
    last: BTreeMap<u16, (u64, bool)>,
    current: BTreeMap<u16, (u64, bool)>,
    founded: Option<BTreeSet<u64>>,
    /// The founder whose first entry this replica has synced.
    supports: Option<u64>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    slots: BTreeMap<u16, Slot>,
    /// Founders with their members and those who have synced the first entry, lost ones included.
    groups: BTreeMap<u64, (BTreeSet<u64>, BTreeSet<u64>)>,
    lost: BTreeSet<u64>,
    fresh: Vec<u64>,
}

fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], slot))
}

fn blank(id: u64) -> Slot {
    Slot {
        id,
        last: BTreeMap::new(),
        current: BTreeMap::new(),
        founded: None,
        supports: None,
    }
}

fn is_blank(slot: &Slot) -> bool {
    slot.founded.is_none() && slot.supports.is_none()
}

fn round(answers: &BTreeMap<u16, (u64, bool)>) -> HelloRound {
    let hello = |slot, id, blank| Hello {
        id: ReplicaId(id),
        blank,
        joins: blank,
        address: address(slot),
    };
    let answer = |(slot, (id, blank)): (&u16, &(u64, bool))| {
        (address(*slot), Some(hello(*slot, *id, *blank)))
    };
    answers.iter().map(answer).collect()
}

/// What the real rule says to the last two rounds; with `hasty`, to the last one as if repeated.
fn founders(slot: &Slot, hasty: bool) -> Option<BTreeSet<u64>> {
    let own = ReplicaId(slot.id);
    let mut founding = Bootstrap::default();
    let first = if hasty { &slot.current } else { &slot.last };
    founding.observe(own, &round(first));
    let members = founding.observe(own, &round(&slot.current))?;
    Some(members.voters().map(|id| id.0).collect())
}

fn greet(world: &mut World, from: u16, to: u16, hasty: bool) {
    let (id, blank) = (world.slots[&to].id, is_blank(&world.slots[&to]));
    let slot = world.slots.get_mut(&from).unwrap();
    if !is_blank(slot) || slot.current.contains_key(&to) {
        return;
    }
    // A round with such an answer founds nothing and is no first round either.
    if !blank || id < slot.id {
        slot.current.clear();
        slot.last.clear();
        return;
    }
    slot.current.insert(to, (id, blank));
    slot.current.insert(from, (slot.id, true));
    if slot.current.len() < usize::from(SLOTS) {
        return;
    }
    slot.founded = founders(slot, hasty);
    slot.last = std::mem::take(&mut slot.current);
    if let Some(members) = slot.founded.clone() {
        world.groups.insert(slot.id, (members, BTreeSet::new()));
    }
}

/// A member syncs the first entry of a group whose founder lives. It never does so for two: it would
/// vote for no candidate whose log is behind.
fn support(world: &mut World, at: u16, founder: u64) {
    let lives = world.slots.values().any(|slot| slot.id == founder);
    let slot = world.slots.get_mut(&at).unwrap();
    let (members, supporters) = world.groups.get_mut(&founder).unwrap();
    if lives && slot.supports.is_none() && members.contains(&slot.id) {
        slot.supports = Some(founder);
        supporters.insert(slot.id);
    }
}

fn lose(world: &mut World, at: u16) {
    if let Some(id) = world.fresh.pop() {
        let old = world.slots.insert(at, blank(id)).unwrap();
        world.lost.insert(old.id);
    }
}

fn successors(world: &World, hasty: bool) -> Vec<World> {
    let mut next = Vec::new();
    let mut add = |change: &dyn Fn(&mut World)| {
        let mut after = world.clone();
        change(&mut after);
        if after != *world {
            next.push(after);
        }
    };
    for at in 0..SLOTS {
        (0..SLOTS).for_each(|to| add(&|w| greet(w, at, to, hasty)));
        world
            .groups
            .keys()
            .for_each(|founder| add(&|w| support(w, at, *founder)));
        add(&|w| lose(w, at));
    }
    next
}

/// Two groups have agreed on something, though each lost at most one of the disks that hold it.
fn is_split(world: &World) -> bool {
    let agreed = |supporters: &BTreeSet<u64>| {
        supporters.len() > 1 && supporters.intersection(&world.lost).count() < 2
    };
    let groups = world.groups.values();
    groups.filter(|(_, supporters)| agreed(supporters)).count() > 1
}

fn search(name: &str, fresh: [u64; 2], hasty: bool) -> bool {
    let start = World {
        slots: [(0, blank(2)), (1, blank(3)), (2, blank(4))].into(),
        groups: BTreeMap::new(),
        lost: BTreeSet::new(),
        fresh: fresh.into(),
    };
    let states = Cell::new(0);
    let next = |world: &World| {
        states.set(states.get() + 1);
        successors(world, hasty)
    };
    let split = bfs(&start, next, is_split).is_some();
    println!("{name}: {} states, split {split}", states.get());
    split
}

macro_rules! cases {
    ($($name:ident: fresh $fresh:expr, hasty $hasty:literal, split $split:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(search(stringify!($name), $fresh, $hasty), $split);
            }
        )*
    };
}

cases! {
    two_rounds_with_low_and_high: fresh [5, 1], hasty false, split false;
    two_rounds_with_low_and_lower: fresh [0, 1], hasty false, split false;
    one_round_splits: fresh [5, 1], hasty true, split true;
}
