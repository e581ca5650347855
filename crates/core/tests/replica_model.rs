//! Exhaustive search over real nodes: all orders of messages, crashes, elections and other events
//! within the bounds of each scenario.
#![allow(clippy::unwrap_used)]

mod replica_world;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Campaign;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Member;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::replica::Mutations;
use chestnutnotch_core::unit::Index;
use pathfinding::prelude::bfs;
use replica_world::Bounds;
use replica_world::Packet;
use replica_world::Violation;
use replica_world::World;
use replica_world::address;
use replica_world::snapshot_data;

/// How a replica that lost its disk is replaced.
#[derive(Clone, Copy, Debug, Default)]
struct Replacement {
    /// Whether the new replica has the identity of the old one, which the protocol forbids.
    same_id: bool,
}

/// Returns all states that can follow a state.
fn successors(world: &World, replacement: Replacement) -> Vec<World> {
    let mut next = Vec::new();
    let mut add = |change: &dyn Fn(&mut World)| {
        let mut after = world.clone();
        change(&mut after);
        after.prune();
        if after != *world {
            next.push(after);
        }
    };
    for packet in world.packets.iter() {
        add(&|w| w.deliver(packet));
    }
    for id in world.hosts.keys().copied() {
        add(&|w| w.sync(id));
        add(&|w| campaign(w, id));
        add(&|w| propose(w, id));
        add(&|w| read(w, id));
        add(&|w| compact(w, id));
        add(&|w| crash(w, id));
        add(&|w| lose_disk(w, id, replacement));
        add(&|w| remove(w, id));
        for (joiner, slot) in &world.bounds.joins {
            let (id, address) = (*joiner, address(*slot));
            add(&|w| join(w, id, address));
        }
    }
    next
}

/// Starts an election on a replica. A leader gets a quorum check first and does so only if it steps
/// down.
fn campaign(world: &mut World, id: ReplicaId) {
    let Some(remaining) = world
        .bounds
        .campaigns
        .get_mut(&id)
        .filter(|remaining| **remaining > 0)
    else {
        return;
    };
    *remaining -= 1;
    world.step(id, Input::CheckQuorum);
    if world.hosts[&id].node.leads() {
        return;
    }
    let phase = if world.bounds.pre_votes {
        world.step(id, Input::LeaderTimeout);
        Campaign::PreVote
    } else {
        Campaign::Election
    };
    world.step(id, Input::Campaign(phase));
}

fn propose(world: &mut World, id: ReplicaId) {
    if world.bounds.proposals > 0 && world.hosts[&id].node.leads() {
        world.bounds.proposals -= 1;
        let command = [world.bounds.proposals];
        world.step(id, Input::Propose(vec![command.into()]));
    }
}

fn read(world: &mut World, id: ReplicaId) {
    if world.bounds.reads > 0 && world.hosts[&id].node.leads() {
        let number = u64::from(world.bounds.reads);
        world.bounds.reads -= 1;
        let mut history = replica_world::History::clone(&world.history);
        let last_committed = history.committed.keys().last().copied().unwrap_or_default();
        history.read_floors.insert(number, last_committed);
        world.history = history.into();
        world.step(id, Input::Read(number));
    }
}

fn compact(world: &mut World, id: ReplicaId) {
    let node = &world.hosts[&id].node;
    let index = node.committed();
    if world.bounds.compactions > 0 && index > node.log().snapshot().at.index {
        world.bounds.compactions -= 1;
        let data = snapshot_data(index);
        let keep = 0;
        world.step(id, Input::Compact { index, data, keep });
    }
}

fn crash(world: &mut World, id: ReplicaId) {
    if world.bounds.crashes > 0 {
        world.bounds.crashes -= 1;
        world.crash(id);
    }
}

/// Replaces a replica by one with an empty disk.
fn lose_disk(world: &mut World, id: ReplicaId, replacement: Replacement) {
    let Some(new_id) = world.bounds.disk_losses.remove(&id) else {
        return;
    };
    world.hosts.remove(&id);
    world.add_blank(if replacement.same_id { id } else { new_id });
}

/// Removes a replica for good.
fn remove(world: &mut World, id: ReplicaId) {
    if world.bounds.removals.remove(&id) {
        world.hosts.remove(&id);
    }
}

/// Lets a replica outside the group ask the leader with the highest identity to join.
fn join(world: &mut World, id: ReplicaId, address: std::net::SocketAddr) {
    let must_join = world
        .hosts
        .get(&id)
        .is_some_and(|host| host.node.must_join());
    if must_join {
        let leaders: Vec<_> = world.hosts.iter().filter(|(_, h)| h.node.leads()).collect();
        let Some(leader) = leaders.last().map(|(id, _)| **id) else {
            return;
        };
        let founds = false;
        world.step(
            leader,
            Input::Join {
                id,
                address,
                founds,
            },
        );
    }
}

/// Searches all states and returns the violation that is reached in the fewest steps, if any.
fn search(name: &str, start: World, replacement: Replacement) -> Option<Violation> {
    let states = Cell::new(0_usize);
    let bounds = format!("{:?}", start.bounds);
    let path = bfs(
        &start,
        |world| {
            states.set(states.get() + 1);
            successors(world, replacement)
        },
        |world| world.history.violation.is_some(),
    );
    let violation = path
        .as_ref()
        .and_then(|path| path.last()?.history.violation);
    let steps = path.map_or(0, |path| path.len() - 1);
    let states = states.get();
    println!(
        "{name}: {states} states, violation {violation:?} after {steps} steps, bounds {bounds}"
    );
    violation
}

/// Returns the number of elections that each replica may start.
fn campaigns(pairs: impl IntoIterator<Item = (u64, u8)>) -> BTreeMap<ReplicaId, u8> {
    pairs
        .into_iter()
        .map(|(id, count)| (ReplicaId(id), count))
        .collect()
}

/// Three elections and one command.
fn terms(mutations: Mutations) -> World {
    World::new(
        3,
        mutations,
        Bounds {
            campaigns: campaigns([(0, 2), (1, 1)]),
            proposals: 1,
            ..Bounds::default()
        },
    )
}

/// Up to seven elections of two replicas that cannot reach each other. Each append carries one
/// entry, so that an entry of an earlier term can be replicated without those that follow it.
fn alternating_elections(mutations: Mutations) -> World {
    World::new(
        3,
        Mutations {
            single_entry: true,
            ..mutations
        },
        Bounds {
            campaigns: campaigns([(0, 3), (1, 4)]),
            cut_links: BTreeSet::from([(0, 1), (1, 0)]),
            ..Bounds::default()
        },
    )
}

/// Two elections that start with a pre-vote.
fn pre_votes(mutations: Mutations) -> World {
    World::new(
        3,
        mutations,
        Bounds {
            campaigns: campaigns([(0, 1), (1, 1)]),
            pre_votes: true,
            ..Bounds::default()
        },
    )
}

/// Writes that become durable late, and a crash that loses them.
fn crashes(mutations: Mutations) -> World {
    World::new(
        3,
        mutations,
        Bounds {
            campaigns: campaigns([(0, 1), (1, 1)]),
            crashes: 1,
            delayed_sync: true,
            ..Bounds::default()
        },
    )
}

/// A read at an old or a new leader.
fn reads(mutations: Mutations) -> World {
    let mut world = World::new(
        3,
        mutations,
        Bounds {
            campaigns: campaigns([(1, 1)]),
            reads: 1,
            ..Bounds::default()
        },
    );
    world.elect(0, &[0, 1, 2]);
    world
}

/// Snapshots that are sent to a replica that lacks the compacted entries.
fn snapshots(mutations: Mutations) -> World {
    let mut world = World::new(
        3,
        mutations,
        Bounds {
            campaigns: campaigns([(1, 1)]),
            compactions: 2,
            crashes: 1,
            ..Bounds::default()
        },
    );
    world.elect(0, &[0, 1]);
    world.step(ReplicaId(0), Input::Heartbeat);
    world
}

/// A lost disk, the replacement of its replica by a new one, a crash and an election.
fn disk_loss(mutations: Mutations) -> World {
    let mut world = World::new(
        3,
        mutations,
        Bounds {
            campaigns: campaigns([(1, 1)]),
            crashes: 1,
            disk_losses: BTreeMap::from([(ReplicaId(2), ReplicaId(3))]),
            joins: BTreeMap::from([(ReplicaId(3), 2)]),
            ..Bounds::default()
        },
    );
    world.elect(0, &[0, 2]);
    world.step(ReplicaId(0), Input::Heartbeat);
    world
}

/// Two learners, an old leader that can send only to them, and an election of another voter, which
/// cannot send to them.
fn two_learners(mutations: Mutations) -> World {
    let mut world = World::new(
        3,
        mutations,
        Bounds {
            campaigns: campaigns([(1, 1)]),
            ..Bounds::default()
        },
    );
    world.elect(0, &[0, 1, 2]);
    for id in [3, 4] {
        world.add_blank(ReplicaId(id));
        let join = Input::Join {
            id: ReplicaId(id),
            address: address(id as u16),
            founds: false,
        };
        world.step(ReplicaId(0), join);
        world.step(ReplicaId(0), Input::Heartbeat);
        world.deliver_among(&[0, 1, 2]);
    }
    world.clear_packets();
    world.bounds.cut_links = BTreeSet::from([(0, 1), (0, 2), (1, 3), (1, 4)]);
    world.step(ReplicaId(0), Input::Heartbeat);
    world
}

/// Four voters, two of them with the same address, and a learner. Replicas 0 and 1 cannot reach
/// each other. As leaders, both change the members: replica 0 reaches the learner and the older of
/// the two voters with one address, replica 1 reaches both of these voters.
fn membership_changes(mutations: Mutations) -> World {
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
        Bounds {
            campaigns: campaigns([(0, 3), (1, 2)]),
            ..Bounds::default()
        },
    );
    world.step(ReplicaId(0), Input::Campaign(Campaign::Election));
    for to in [2, 3] {
        let is_request = |packet: &&Packet| packet.to == ReplicaId(to);
        let request = world.packets.iter().find(is_request).cloned().unwrap();
        world.deliver(&request);
    }
    let votes: Vec<Packet> = world
        .packets
        .iter()
        .filter(|p| p.to == ReplicaId(0))
        .cloned()
        .collect();
    for vote in &votes {
        world.deliver(vote);
    }
    world.clear_packets();
    let cuts = [(0, 1), (1, 0), (0, 3), (3, 0), (1, 4), (4, 1)];
    world.bounds.cut_links = BTreeSet::from(cuts);
    world.step(ReplicaId(0), Input::Heartbeat);
    world
}

/// Three voters led by replica 0, and a successor, replica 3, that has caught up and replaces
/// the voter in its data centre. Further events are in `bounds`.
fn succession_of(mutations: Mutations, predecessor: u16, bounds: Bounds) -> World {
    let centre = |slot| DataCentre::from(format!("{slot}").as_str());
    let centres = (0..3).map(|slot| (address(slot), centre(slot)));
    let centres = centres.chain([(address(3), centre(predecessor))]);
    let bounds = Bounds {
        target_voters: Some(3),
        centres: Arc::new(centres.collect()),
        ..bounds
    };
    let mut world = World::new(3, mutations, bounds);
    let leader = ReplicaId(0);
    world.elect(0, &[0, 1, 2]);
    world.add_blank(ReplicaId(3));
    let join = Input::Join {
        id: ReplicaId(3),
        address: address(3),
        founds: false,
    };
    world.step(leader, join);
    for _ in 0..2 {
        world.step(leader, Input::Heartbeat);
        world.deliver_among(&[0, 1, 2, 3]);
        world.step(leader, Input::CheckQuorum);
    }
    world.clear_packets();
    world.step(leader, Input::Heartbeat);
    world
}

/// A successor that replaces a follower, the removal of that one, and an election.
fn succession(mutations: Mutations) -> World {
    let bounds = Bounds {
        campaigns: campaigns([(1, 1)]),
        removals: BTreeSet::from([ReplicaId(2)]),
        ..Bounds::default()
    };
    succession_of(mutations, 2, bounds)
}

/// A successor that replaces the leader, which has to transfer leadership for that.
fn succession_of_the_leader(mutations: Mutations) -> World {
    let bounds = Bounds {
        campaigns: campaigns([(0, 1)]),
        removals: BTreeSet::from([ReplicaId(0)]),
        ..Bounds::default()
    };
    succession_of(mutations, 0, bounds)
}

/// A successor that replaces a follower, and the removal of that one and of the leader.
fn succession_and_loss(mutations: Mutations) -> World {
    let bounds = Bounds {
        campaigns: campaigns([(1, 1)]),
        removals: BTreeSet::from([ReplicaId(0), ReplicaId(2)]),
        ..Bounds::default()
    };
    succession_of(mutations, 2, bounds)
}

/// Declares tests in which the correct protocol violates no invariant.
macro_rules! holds {
    ($($name:ident: $start:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let start = $start(Mutations::default());
                assert_eq!(search(stringify!($name), start, Replacement::default()), None);
            }
        )*
    };
}

/// Declares tests in which a mutation has to lead to one of the given violations.
macro_rules! finds {
    ($($name:ident: $start:ident with $mutation:ident finds $($violation:ident)|+;)*) => {
        $(
            #[test]
            fn $name() {
                let start = $start(Mutations { $mutation: true, ..Mutations::default() });
                let violation = search(stringify!($name), start, Replacement::default());
                assert!(matches!(violation, $(Some(Violation::$violation))|+), "{violation:?}");
            }
        )*
    };
}

holds! {
    terms_hold: terms;
    turns_hold: alternating_elections;
    asking_holds: pre_votes;
    crashes_hold: crashes;
    reads_hold: reads;
    snapshots_hold: snapshots;
    losses_hold: disk_loss;
    growth_holds: two_learners;
    changes_hold: membership_changes;
    succession_holds: succession;
    succession_of_the_leader_holds: succession_of_the_leader;
}

finds! {
    blind_votes: terms with stale_candidates finds Incomplete | Diverged;
    votes_twice: terms with double_votes finds TwoLeaders;
    commits_by_counting: alternating_elections with older_commits finds Incomplete | Diverged;
    acknowledges_unsynced: crashes with unsynced_acks finds TwoLeaders | Incomplete | Diverged;
    reads_unconfirmed: reads with unconfirmed_reads finds StaleRead;
    promotes_early: disk_loss with lagging_promotions finds EarlyPromotion;
    changes_prematurely: membership_changes with premature_changes finds Incomplete | Diverged;
    changes_overlap: two_learners with overlapping_changes finds Incomplete | Diverged;
    swaps_directly: succession with direct_swaps finds TwoLeaders | Incomplete | Diverged;
    retires_early: succession with early_retirements finds TooFewVoters;
}

#[test]
fn returns_under_old_identity() {
    let start = disk_loss(Mutations::default());
    let violation = search(
        "returns_under_old_identity",
        start,
        Replacement { same_id: true },
    );
    assert!(
        matches!(
            violation,
            Some(Violation::Incomplete | Violation::TwoLeaders)
        ),
        "{violation:?}"
    );
}

/// Whether a search reaches a state that satisfies `goal`. Shows that the properties above do not
/// hold merely because such a state never occurs.
fn reaches(start: World, goal: impl Fn(&World) -> bool) -> bool {
    let path = bfs(
        &start,
        |world| successors(world, Replacement::default()),
        goal,
    );
    path.is_some()
}

/// Whether replica 3 has replaced replica 2 in the committed membership.
fn is_repaired(world: &World) -> bool {
    let voters = [0, 1, 3].map(ReplicaId);
    world.hosts.values().any(|host| {
        let members = host.node.members();
        let committed = host.node.log().members_index() <= host.node.committed();
        host.node.leads() && committed && members.0.keys().copied().eq(voters)
    })
}

/// Whether replica 2 has installed a snapshot from the leader.
fn is_restored(world: &World) -> bool {
    let host = &world.hosts[&ReplicaId(2)];
    host.node.log().snapshot().at.index > Index(1) && host.node.log().base().index > Index(1)
}

/// Whether replica 3 votes in place of a replica that stays as a learner, in the committed membership.
fn is_succeeded(world: &World, predecessor: u64) -> bool {
    let voters = (0..4).map(ReplicaId).filter(|id| id.0 != predecessor);
    world.hosts.values().any(|host| {
        let members = host.node.members();
        let committed = host.node.log().members_index() <= host.node.committed();
        let stays = members.learners().eq([ReplicaId(predecessor)]);
        host.node.leads() && committed && stays && members.voters().eq(voters.clone())
    })
}

/// Whether the two replicas that are left lead and commit in a new term.
fn is_led_by_the_rest(world: &World) -> bool {
    let leads = |id: u64| {
        let host = world.hosts.get(&ReplicaId(id));
        host.is_some_and(|host| {
            let committed = host.node.log().term(host.node.committed());
            host.node.leads() && committed == Some(host.node.term())
        })
    };
    world.hosts.len() == 2 && leads(1)
}

/// Declares tests in which the correct protocol has to reach a state.
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
    lost_disk_is_replaced: disk_loss to is_repaired;
    snapshot_is_sent: snapshots to is_restored;
    read_is_answered_by_either: reads to |w| {
        !w.history.answered_reads.is_empty() && w.history.leaders.len() > 1
    };
    predecessor_follows: succession to |w| is_succeeded(w, 2);
    leader_transfers_and_follows: succession_of_the_leader to |w| is_succeeded(w, 0);
    successor_and_third_are_a_quorum: succession_and_loss to is_led_by_the_rest;
    election_is_won_thrice: alternating_elections to |w| w.history.leaders.len() > 2;
}
