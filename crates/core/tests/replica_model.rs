//! Exhaustive search over real nodes: every order of messages, crashes and elections within the
//! stated bounds.
#![allow(clippy::unwrap_used)]

mod replica_world;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Campaign;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Member;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::replica::Mutations;
use chestnutnotch_core::unit::Index;
use pathfinding::prelude::bfs;
use replica_world::Budget;
use replica_world::Flaw;
use replica_world::Packet;
use replica_world::World;
use replica_world::address;
use replica_world::snapshot_data;

/// Whether a lost disk comes back under its old identity.
#[derive(Clone, Copy, Debug, Default)]
struct Disks {
    same: bool,
}

/// All states that can follow a state.
fn successors(world: &World, disks: Disks) -> Vec<World> {
    let mut next = Vec::new();
    let mut add = |change: &dyn Fn(&mut World)| {
        let mut after = world.clone();
        change(&mut after);
        after.prune();
        if after != *world {
            next.push(after);
        }
    };
    for packet in world.net.iter() {
        add(&|w| w.deliver(packet));
    }
    for id in world.hosts.keys().copied() {
        add(&|w| w.sync(id));
        add(&|w| campaign(w, id));
        add(&|w| propose(w, id));
        add(&|w| read(w, id));
        add(&|w| compact(w, id));
        add(&|w| crash(w, id));
        add(&|w| lose(w, id, disks));
        for (greeter, slot) in &world.budget.greetings {
            let (id, address) = (*greeter, address(*slot));
            add(&|w| greet(w, id, address));
        }
    }
    next
}

fn campaign(world: &mut World, id: ReplicaId) {
    let Some(left) = world
        .budget
        .campaigns
        .get_mut(&id)
        .filter(|left| **left > 0)
    else {
        return;
    };
    *left -= 1;
    world.step(id, Input::CheckQuorum);
    if world.hosts[&id].node.leads() {
        return;
    }
    let kind = if world.budget.asking {
        world.step(id, Input::LeaderTimeout);
        Campaign::PreVote
    } else {
        Campaign::Election
    };
    world.step(id, Input::Campaign(kind));
}

fn propose(world: &mut World, id: ReplicaId) {
    if world.budget.proposals > 0 && world.hosts[&id].node.leads() {
        world.budget.proposals -= 1;
        let command = [world.budget.proposals];
        world.step(id, Input::Propose(vec![command.into()]));
    }
}

fn read(world: &mut World, id: ReplicaId) {
    if world.budget.reads > 0 && world.hosts[&id].node.leads() {
        let number = u64::from(world.budget.reads);
        world.budget.reads -= 1;
        let mut history = replica_world::History::clone(&world.history);
        let newest = history.chosen.keys().last().copied().unwrap_or_default();
        history.asked.insert(number, newest);
        world.history = history.into();
        world.step(id, Input::Read(number));
    }
}

fn compact(world: &mut World, id: ReplicaId) {
    let node = &world.hosts[&id].node;
    let index = node.committed();
    if world.budget.compactions > 0 && index > node.log().snapshot().at.index {
        world.budget.compactions -= 1;
        let data = snapshot_data(index);
        let keep = 0;
        world.step(id, Input::Compact { index, data, keep });
    }
}

fn crash(world: &mut World, id: ReplicaId) {
    if world.budget.crashes > 0 {
        world.budget.crashes -= 1;
        world.crash(id);
    }
}

fn lose(world: &mut World, id: ReplicaId, disks: Disks) {
    let Some(fresh) = world.budget.losses.remove(&id) else {
        return;
    };
    world.hosts.remove(&id);
    world.add_blank(if disks.same { id } else { fresh });
}

fn greet(world: &mut World, id: ReplicaId, address: std::net::SocketAddr) {
    let outside = world
        .hosts
        .get(&id)
        .is_some_and(|host| host.node.must_join());
    if outside {
        let leaders: Vec<_> = world.hosts.iter().filter(|(_, h)| h.node.leads()).collect();
        let Some(leader) = leaders.last().map(|(id, _)| **id) else {
            return;
        };
        world.step(leader, Input::Join { id, address });
    }
}

/// Searches all states and returns the flaw at the end of the shortest way to one.
fn search(name: &str, start: World, disks: Disks) -> Option<Flaw> {
    let states = Cell::new(0_usize);
    let bounds = format!("{:?}", start.budget);
    let path = bfs(
        &start,
        |world| {
            states.set(states.get() + 1);
            successors(world, disks)
        },
        |world| world.history.flaw.is_some(),
    );
    let flaw = path.as_ref().and_then(|path| path.last()?.history.flaw);
    let steps = path.map_or(0, |path| path.len() - 1);
    let states = states.get();
    println!("{name}: {states} states, flaw {flaw:?} after {steps} steps, bounds {bounds}");
    flaw
}

fn elections(pairs: impl IntoIterator<Item = (u64, u8)>) -> BTreeMap<ReplicaId, u8> {
    pairs
        .into_iter()
        .map(|(id, count)| (ReplicaId(id), count))
        .collect()
}

/// Elections and entries of three replicas.
fn terms(mutations: Mutations) -> World {
    World::new(
        3,
        mutations,
        Budget {
            campaigns: elections([(0, 2), (1, 1)]),
            proposals: 1,
            ..Budget::default()
        },
    )
}

/// Elections in turn, with one entry in each append.
fn turns(mutations: Mutations) -> World {
    World::new(
        3,
        Mutations {
            single_entry: true,
            ..mutations
        },
        Budget {
            campaigns: elections([(0, 3), (1, 4)]),
            cuts: BTreeSet::from([(0, 1), (1, 0)]),
            ..Budget::default()
        },
    )
}

/// A write, and elections that ask first.
fn asking(mutations: Mutations) -> World {
    World::new(
        3,
        mutations,
        Budget {
            campaigns: elections([(0, 1), (1, 1)]),
            asking: true,
            ..Budget::default()
        },
    )
}

/// Writes that become durable late, and crashes that lose them.
fn crashes(mutations: Mutations) -> World {
    World::new(
        3,
        mutations,
        Budget {
            campaigns: elections([(0, 1), (1, 1)]),
            crashes: 1,
            lazy: true,
            ..Budget::default()
        },
    )
}

/// Reads at an old and a new leader.
fn reads(mutations: Mutations) -> World {
    let mut world = World::new(
        3,
        mutations,
        Budget {
            campaigns: elections([(1, 1)]),
            reads: 1,
            ..Budget::default()
        },
    );
    world.elect(0, &[0, 1, 2]);
    world
}

/// Snapshots, sent to a replica that lacks what they replace.
fn snapshots(mutations: Mutations) -> World {
    let mut world = World::new(
        3,
        mutations,
        Budget {
            campaigns: elections([(1, 1)]),
            compactions: 2,
            crashes: 1,
            ..Budget::default()
        },
    );
    world.elect(0, &[0, 1]);
    world.step(ReplicaId(0), Input::Heartbeat);
    world
}

/// A lost disk, its replacement by a new replica, and an election.
fn losses(mutations: Mutations) -> World {
    let mut world = World::new(
        3,
        mutations,
        Budget {
            campaigns: elections([(1, 1)]),
            crashes: 1,
            losses: BTreeMap::from([(ReplicaId(2), ReplicaId(3))]),
            greetings: BTreeMap::from([(ReplicaId(3), 2)]),
            ..Budget::default()
        },
    );
    world.elect(0, &[0, 2]);
    world.step(ReplicaId(0), Input::Heartbeat);
    world
}

/// Two learners at an old leader that reaches only them, and an election without them.
fn growth(mutations: Mutations) -> World {
    let mut world = World::new(
        3,
        mutations,
        Budget {
            campaigns: elections([(1, 1)]),
            ..Budget::default()
        },
    );
    world.elect(0, &[0, 1, 2]);
    for id in [3, 4] {
        world.add_blank(ReplicaId(id));
        let greet = Input::Join {
            id: ReplicaId(id),
            address: address(id as u16),
        };
        world.step(ReplicaId(0), greet);
        world.step(ReplicaId(0), Input::Heartbeat);
        world.run_among(&[0, 1, 2]);
    }
    world.clear_net();
    world.budget.cuts = BTreeSet::from([(0, 1), (0, 2), (1, 3), (1, 4)]);
    world.step(ReplicaId(0), Input::Heartbeat);
    world
}

/// Four voters, two of them at one address, and a learner. A leader that reaches the learner and
/// another that reaches the older voter of the two each change the members.
fn changes(mutations: Mutations) -> World {
    let member = |slot, voter, since| Member {
        address: address(slot),
        voter,
        since: Index(since),
    };
    let members = [
        (ReplicaId(0), member(0, true, 0)),
        (ReplicaId(1), member(1, true, 0)),
        (ReplicaId(2), member(2, true, 0)),
        (ReplicaId(3), member(2, true, 1)),
        (ReplicaId(4), member(4, false, 1)),
    ];
    let mut world = World::with_members(
        Members(members.into()),
        mutations,
        Budget {
            campaigns: elections([(0, 3), (1, 2)]),
            ..Budget::default()
        },
    );
    world.step(ReplicaId(0), Input::Campaign(Campaign::Election));
    for to in [2, 3] {
        let asks = |packet: &&Packet| packet.to == ReplicaId(to);
        let ask = world.net.iter().find(asks).cloned().unwrap();
        world.deliver(&ask);
    }
    let votes: Vec<Packet> = world
        .net
        .iter()
        .filter(|p| p.to == ReplicaId(0))
        .cloned()
        .collect();
    for vote in &votes {
        world.deliver(vote);
    }
    world.clear_net();
    let cuts = [(0, 1), (1, 0), (0, 3), (3, 0), (1, 4), (4, 1)];
    world.budget.cuts = BTreeSet::from(cuts);
    world.step(ReplicaId(0), Input::Heartbeat);
    world
}

macro_rules! holds {
    ($($name:ident: $start:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let start = $start(Mutations::default());
                assert_eq!(search(stringify!($name), start, Disks::default()), None);
            }
        )*
    };
}

macro_rules! finds {
    ($($name:ident: $start:ident with $mutation:ident finds $($flaw:ident)|+;)*) => {
        $(
            #[test]
            fn $name() {
                let start = $start(Mutations { $mutation: true, ..Mutations::default() });
                let flaw = search(stringify!($name), start, Disks::default());
                assert!(matches!(flaw, $(Some(Flaw::$flaw))|+), "{flaw:?}");
            }
        )*
    };
}

holds! {
    terms_hold: terms;
    turns_hold: turns;
    asking_holds: asking;
    crashes_hold: crashes;
    reads_hold: reads;
    snapshots_hold: snapshots;
    losses_hold: losses;
    growth_holds: growth;
    changes_hold: changes;
}

finds! {
    blind_votes: terms with stale_candidates finds Incomplete | Diverged;
    votes_twice: terms with double_votes finds TwoLeaders;
    commits_by_counting: turns with older_commits finds Incomplete | Diverged;
    acknowledges_unsynced: crashes with unsynced_acks finds TwoLeaders | Incomplete | Diverged;
    reads_unconfirmed: reads with unconfirmed_reads finds StaleRead;
    promotes_early: losses with lagging_promotions finds EarlyPromotion;
    changes_prematurely: changes with premature_changes finds Incomplete | Diverged;
    changes_overlap: growth with overlapping_changes finds Incomplete | Diverged;
}

#[test]
fn returns_under_old_identity() {
    let start = losses(Mutations::default());
    let flaw = search("returns_under_old_identity", start, Disks { same: true });
    assert!(
        matches!(flaw, Some(Flaw::Incomplete | Flaw::TwoLeaders)),
        "{flaw:?}"
    );
}

/// Whether the search comes to a state that a property is about, so that it does not hold in vain.
fn reaches(start: World, goal: impl Fn(&World) -> bool) -> bool {
    let path = bfs(&start, |world| successors(world, Disks::default()), goal);
    path.is_some()
}

fn is_repaired(world: &World) -> bool {
    let voters = [0, 1, 3].map(ReplicaId);
    world.hosts.values().any(|host| {
        let members = host.node.members();
        let settled = host.node.log().members_index() <= host.node.committed();
        host.node.leads() && settled && members.0.keys().copied().eq(voters)
    })
}

fn is_restored(world: &World) -> bool {
    let host = &world.hosts[&ReplicaId(2)];
    host.node.log().snapshot().at.index > Index(1) && host.node.log().base().index > Index(1)
}

macro_rules! reached {
    ($($name:ident: $start:ident to $goal:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert!(reaches($start(Mutations::default()), $goal));
            }
        )*
    };
}

reached! {
    lost_disk_is_replaced: losses to is_repaired;
    snapshot_is_sent: snapshots to is_restored;
    read_is_answered_by_either: reads to |w| {
        !w.history.answered.is_empty() && w.history.leaders.len() > 1
    };
    election_is_won_thrice: turns to |w| w.history.leaders.len() > 2;
}
