//! A group that maintains its number of voters: learners replace unresponsive voters, and
//! successors the members that they replace.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Campaign;
use chestnutnotch_core::replica::DurableState;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Node;
use chestnutnotch_core::replica::Output;

fn address(id: u64) -> SocketAddr {
    format!("10.0.0.{id}:7000").parse().unwrap()
}

/// Nodes whose writes are durable at once, unless their disk hangs, and whose messages are delivered
/// in order.
struct World {
    nodes: BTreeMap<ReplicaId, Node>,
    /// Replicas whose writes never become durable.
    hanging: Vec<ReplicaId>,
    /// Replicas to and from which no messages are delivered.
    down: Vec<ReplicaId>,
    /// Messages in flight, as sender, receiver and message.
    queue: VecDeque<(ReplicaId, ReplicaId, Message)>,
    /// Number of voters to maintain.
    target_voters: Option<usize>,
    /// Replicas that join as successors.
    successors: BTreeSet<ReplicaId>,
    /// Data centres by address.
    centres: BTreeMap<SocketAddr, DataCentre>,
}

impl World {
    /// Creates `count` nodes, of which the first three form a group that the first one leads. The
    /// others belong to the first start too.
    fn new(count: u64, target_voters: Option<usize>) -> Self {
        Self::founded_by(3, count, target_voters)
    }

    /// Creates `count` nodes, of which the first `founders` form a group that the first one leads.
    fn founded_by(founders: u64, count: u64, target_voters: Option<usize>) -> Self {
        let node = |id| {
            let node =
                Node::new(ReplicaId(id), DurableState::default()).with_target_voters(target_voters);
            (ReplicaId(id), node)
        };
        let mut world = Self {
            nodes: (1..=count).map(node).collect(),
            hanging: Vec::new(),
            down: Vec::new(),
            queue: VecDeque::new(),
            target_voters,
            successors: BTreeSet::new(),
            centres: BTreeMap::new(),
        };
        let members = Members::initial((1..=founders).map(|id| (ReplicaId(id), address(id))));
        world.step(ReplicaId(1), Input::Bootstrap(members));
        world.step(ReplicaId(1), Input::Campaign(Campaign::Election));
        world.deliver_all();
        assert!(world.nodes[&ReplicaId(1)].leads());
        world
    }

    fn step(&mut self, at: ReplicaId, input: Input) {
        let mut out = Vec::new();
        let Some(node) = self.nodes.get_mut(&at) else {
            return;
        };
        node.step(input, &mut out);
        let hangs = self.hanging.contains(&at);
        if !hangs {
            let last = node.log().last();
            node.step(Input::Synced(last), &mut out);
        }
        for output in out {
            if let Output::Send {
                to,
                message,
                after_sync,
            } = output
                && !(hangs && after_sync)
            {
                self.queue.push_back((at, to, message));
            }
        }
    }

    /// Delivers messages until none is in flight.
    fn deliver_all(&mut self) {
        while let Some((from, to, message)) = self.queue.pop_front() {
            if !self.down.contains(&from) && !self.down.contains(&to) {
                self.step(to, Input::Receive { from, message });
            }
        }
    }

    /// Returns the replica that leads in the newest term.
    fn leader(&self) -> ReplicaId {
        let running = self.nodes.iter().filter(|(id, _)| !self.down.contains(id));
        let leaders = running.filter(|(_, node)| node.leads());
        let (id, _) = leaders.max_by_key(|(_, node)| node.term()).unwrap();
        *id
    }

    /// Starts a replica that joins as a successor in a data centre.
    fn add(&mut self, id: u64, centre: &str) {
        let node = Node::new(ReplicaId(id), DurableState::default());
        let node = node.with_target_voters(self.target_voters);
        self.nodes.insert(ReplicaId(id), node);
        self.successors.insert(ReplicaId(id));
        self.locate(id, centre);
    }

    /// Makes the data centre of a replica known to all.
    fn locate(&mut self, id: u64, centre: &str) {
        self.centres.insert(address(id), DataCentre::from(centre));
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.step(id, Input::Centres(self.centres.clone().into()));
        }
    }

    /// Runs rounds until all successors have had time to become voters.
    fn settle(&mut self) {
        (0..4 + 4 * self.successors.len()).for_each(|_| self.run_round());
    }

    /// Runs one heartbeat round and one quorum check of the leader, after each node that has to
    /// join has asked it to.
    fn run_round(&mut self) {
        let leader = self.leader();
        let joining: Vec<ReplicaId> = self
            .nodes
            .keys()
            .copied()
            .filter(|id| !self.down.contains(id) && self.nodes[id].must_join())
            .collect();
        for id in joining {
            self.step(
                leader,
                Input::Join {
                    id,
                    address: address(id.0),
                    founds: !self.successors.contains(&id),
                },
            );
            self.deliver_all();
        }
        self.step(leader, Input::Heartbeat);
        self.deliver_all();
        self.step(leader, Input::CheckQuorum);
        self.deliver_all();
    }

    fn voters(&self) -> Vec<u64> {
        self.nodes[&self.leader()]
            .members()
            .voters()
            .map(|id| id.0)
            .collect()
    }

    fn down(&mut self, id: u64) {
        self.down.push(ReplicaId(id));
    }
}

#[test]
fn fourth_replica_follows_without_a_vote() {
    let mut world = World::new(4, Some(3));
    (0..20).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [1, 2, 3]);
    assert!(
        world.nodes[&ReplicaId(4)]
            .members()
            .learners()
            .any(|id| id == ReplicaId(4))
    );
}

#[test]
fn silent_voter_is_replaced() {
    let mut world = World::new(4, Some(3));
    (0..5).for_each(|_| world.run_round());
    world.down(3);
    (0..2).for_each(|_| world.run_round());
    assert_eq!(
        world.voters(),
        [1, 2, 3],
        "voter replaced within the time of a restart"
    );
    (0..10).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [1, 2, 4]);
}

#[test]
fn replaced_voter_comes_back_as_a_follower() {
    let mut world = World::new(4, Some(3));
    (0..5).for_each(|_| world.run_round());
    world.down(3);
    (0..12).for_each(|_| world.run_round());
    world.down.clear();
    // It does not know that it was replaced and hears from no leader, so it asks to join.
    world.step(
        ReplicaId(1),
        Input::Join {
            id: ReplicaId(3),
            address: address(3),
            founds: false,
        },
    );
    world.deliver_all();
    (0..5).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [1, 2, 4]);
    assert!(world.nodes[&ReplicaId(3)].hears_leader());
}

#[test]
fn silent_voter_stays_without_a_replacement() {
    let mut world = World::new(3, Some(3));
    world.down(3);
    (0..20).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [1, 2, 3]);
}

#[test]
fn without_a_target_every_learner_is_promoted() {
    let mut world = World::new(4, None);
    (0..10).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [1, 2, 3, 4]);
    world.down(3);
    (0..20).for_each(|_| world.run_round());
    assert_eq!(
        world.voters(),
        [1, 2, 3, 4],
        "unresponsive voter removed without a target number"
    );
}

#[test]
fn voter_with_a_hanging_disk_is_replaced() {
    let mut world = World::new(4, Some(3));
    (0..5).for_each(|_| world.run_round());
    world.hanging.push(ReplicaId(3));
    world.step(ReplicaId(1), Input::Propose(vec![[0].as_slice().into()]));
    world.deliver_all();
    (0..12).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [1, 2, 4]);
}

#[test]
fn leader_stays_while_the_disks_of_the_others_hang() {
    let mut world = World::new(3, Some(3));
    (0..5).for_each(|_| world.run_round());
    let term = world.nodes[&ReplicaId(1)].term();
    world.hanging.extend([ReplicaId(2), ReplicaId(3)]);
    world.step(ReplicaId(1), Input::Propose(vec![[0].as_slice().into()]));
    world.deliver_all();
    (0..20).for_each(|_| world.run_round());
    let leader = &world.nodes[&ReplicaId(1)];
    assert!(leader.leads() && leader.term() == term);
    assert!(leader.committed() < leader.log().last().index);
}

/// A group whose members with the identities 1 to `2 * tolerance + 1` are in data centres of their own,
/// and `count` successors with identities from 21 on, which have caught up. `centre` gives the data
/// centre of each successor, counted from 1.
fn replaced(tolerance: u64, count: u64, centre: impl Fn(u64) -> String) -> World {
    let voters = 2 * tolerance + 1;
    let mut world = World::founded_by(voters, voters, Some(voters as usize));
    for id in 1..=voters {
        world.locate(id, &id.to_string());
    }
    (0..3).for_each(|_| world.run_round());
    for number in 1..=count {
        world.add(20 + number, &centre(number));
    }
    world.settle();
    world
}

/// Returns all sets of `count` of the items.
fn choose(items: &[u64], count: usize) -> Vec<BTreeSet<u64>> {
    if count == 0 {
        return vec![BTreeSet::new()];
    }
    let Some((first, rest)) = items.split_first() else {
        return Vec::new();
    };
    let mut sets = choose(rest, count - 1);
    for set in &mut sets {
        set.insert(*first);
    }
    sets.extend(choose(rest, count));
    sets
}

/// Whether a quorum of the voters is left without the members in `gone`.
fn has_quorum(world: &World, gone: &BTreeSet<u64>) -> bool {
    let voters = world.voters();
    let left = voters.iter().filter(|id| !gone.contains(id)).count();
    left * 2 > voters.len()
}

/// Declares tests in which successors in the data centres of their predecessors have caught up: without
/// the predecessors and any others as many as may be lost, a quorum is left.
macro_rules! predecessors_may_go {
    ($($name:ident: $tolerance:literal may be lost, $count:literal replaced;)*) => {
        $(
            #[test]
            fn $name() {
                let world = replaced($tolerance, $count, |number| number.to_string());
                assert_eq!(world.voters().len(), 2 * $tolerance + 1);
                let others: Vec<u64> =
                    world.nodes.keys().map(|id| id.0).filter(|id| *id > $count).collect();
                for mut gone in choose(&others, $tolerance) {
                    gone.extend(1..=$count);
                    assert!(has_quorum(&world, &gone), "{gone:?} of {:?}", world.voters());
                }
            }
        )*
    };
}

predecessors_may_go! {
    one_of_three: 1 may be lost, 1 replaced;
    two_of_three: 1 may be lost, 2 replaced;
    three_of_three: 1 may be lost, 3 replaced;
    one_of_five: 2 may be lost, 1 replaced;
    three_of_five: 2 may be lost, 3 replaced;
    five_of_five: 2 may be lost, 5 replaced;
}

/// Declares tests in which successors are in other data centres than all members: without any older
/// members as many as there are successors, a quorum is left.
macro_rules! any_older_may_go {
    ($($name:ident: $tolerance:literal may be lost, $count:literal replaced;)*) => {
        $(
            #[test]
            fn $name() {
                let world = replaced($tolerance, $count, |_| "other".to_owned());
                let older: Vec<u64> = (1..=2 * $tolerance + 1).collect();
                for gone in choose(&older, $count) {
                    assert!(has_quorum(&world, &gone), "{gone:?} of {:?}", world.voters());
                }
            }
        )*
    };
}

any_older_may_go! {
    any_one_of_three: 1 may be lost, 1 replaced;
    any_two_of_three: 1 may be lost, 2 replaced;
    any_three_of_three: 1 may be lost, 3 replaced;
    any_two_of_five: 2 may be lost, 2 replaced;
    any_three_of_five: 2 may be lost, 3 replaced;
    any_four_of_five: 2 may be lost, 4 replaced;
}

/// Quorum checks within the time that the users give a new host to catch up, 4 s.
const CATCH_UP_CHECKS: u32 = 8;

// Guards against a transfer of leadership to the next voter to be replaced, which has to transfer it
// again: each transfer delays the other successors by three checks.
#[test]
fn successors_vote_in_time_if_the_leader_is_replaced() {
    let mut world = World::new(3, Some(3));
    for id in 1..=3 {
        world.locate(id, &id.to_string());
    }
    for (id, centre) in [(0, "1"), (22, "3"), (23, "2")] {
        world.add(id, centre);
    }
    (0..CATCH_UP_CHECKS).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [0, 22, 23]);
}

#[test]
fn replaced_leader_transfers_and_follows() {
    let world = replaced(1, 1, |_| "1".to_owned());
    assert_eq!(world.voters(), [2, 3, 21]);
    assert_ne!(world.leader(), ReplicaId(1));
    assert!(world.nodes[&ReplicaId(1)].hears_leader());
}

#[test]
fn successor_waits_until_its_data_centre_is_known() {
    let mut world = World::new(3, Some(3));
    world.add(21, "1");
    let located = std::mem::take(&mut world.centres);
    world.step(ReplicaId(1), Input::Centres(BTreeMap::new().into()));
    world.settle();
    assert_eq!(world.voters(), [1, 2, 3]);
    world.step(ReplicaId(1), Input::Centres(located.into()));
    world.settle();
    assert!(world.voters().contains(&21));
}

#[test]
fn successor_replaces_one_whose_predecessor_is_gone() {
    let mut world = replaced(1, 1, |_| "3".to_owned());
    assert_eq!(world.voters(), [1, 2, 21]);
    // Its predecessor is gone, so the first successor may be replaced too.
    world.down(3);
    world.add(22, "3");
    world.settle();
    assert_eq!(world.voters(), [1, 2, 22]);
}

#[test]
fn silent_voter_is_replaced_by_a_successor_of_another_data_centre() {
    let mut world = World::new(3, Some(3));
    for id in 1..=3 {
        world.locate(id, &id.to_string());
    }
    world.add(21, "3");
    world.run_round();
    world.down(2);
    world.settle();
    assert_eq!(world.voters(), [1, 3, 21]);
}

#[test]
fn voters_stay_while_members_freeze_in_turn() {
    let mut world = replaced(1, 2, |number| (number + 1).to_string());
    let voters = world.voters();
    assert_eq!(voters, [1, 21, 22]);
    let term = world.nodes[&world.leader()].term();
    for id in [2, 21, 3, 22, 21, 2] {
        world.down(id);
        (0..4).for_each(|_| world.run_round());
        world.down.clear();
        (0..4).for_each(|_| world.run_round());
        assert_eq!(world.voters(), voters);
    }
    // Longer than a restart: a former voter takes its place, and keeps it.
    world.down(22);
    (0..8).for_each(|_| world.run_round());
    let moved = world.voters();
    assert!(moved.len() == 3 && !moved.contains(&22), "{moved:?}");
    world.down.clear();
    (0..12).for_each(|_| world.run_round());
    assert_eq!(world.voters(), moved);
    assert_eq!(world.nodes[&world.leader()].term(), term);
}

#[test]
fn former_voter_votes_again_when_its_successor_is_lost() {
    let mut world = replaced(1, 1, |_| "3".to_owned());
    assert_eq!(world.voters(), [1, 2, 21]);
    world.down(21);
    (0..8).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [1, 2, 3]);
}

#[test]
fn learner_that_is_gone_for_long_is_removed() {
    let mut world = replaced(1, 1, |_| "3".to_owned());
    world.down(3);
    (0..10).for_each(|_| world.run_round());
    let members = |world: &World| world.nodes[&world.leader()].members().0.len();
    assert_eq!(members(&world), 4);
    (0..120).for_each(|_| world.run_round());
    assert_eq!(members(&world), 3);
    assert_eq!(world.voters(), [1, 2, 21]);
}

#[test]
fn group_has_room_after_many_replacements() {
    let mut world = World::new(3, Some(3));
    for id in 1..=3 {
        world.locate(id, &id.to_string());
    }
    for number in 0..40 {
        let centre = (number % 3 + 1).to_string();
        world.add(21 + number, &centre);
        (0..6).for_each(|_| world.run_round());
        let gone = if number < 3 { number + 1 } else { 18 + number };
        world.down(gone);
        (0..6).for_each(|_| world.run_round());
        assert!(world.voters().contains(&(21 + number)));
    }
    assert_eq!(world.voters(), [58, 59, 60]);
}

// Guards against a voter that stays a member beside the replica that took over its address, because
// both count as members of the first start.
#[test]
fn emptied_founder_replaces_itself_during_the_first_start() {
    let mut world = World::new(3, Some(3));
    world.down(3);
    let id = ReplicaId(23);
    let node = Node::new(id, DurableState::default()).with_target_voters(Some(3));
    world.nodes.insert(id, node);
    let join = Input::Join {
        id,
        address: address(3),
        founds: true,
    };
    world.step(ReplicaId(1), join);
    world.deliver_all();
    (0..4).for_each(|_| world.run_round());
    assert_eq!(world.voters(), [1, 2, 23]);
    assert_eq!(world.nodes[&ReplicaId(1)].members().0.len(), 3);
}
