//! News that has to be known at all nodes within a stated time, among simulated nodes with lost
//! packets, late nodes, cuts and other facts under way.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::PromptPart;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::map::Set;
use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Packet;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::roster::Roster;
use chestnutnotch_core::roster::RosterSettings;
use chestnutnotch_core::roster::Urgency;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Attribution;
use chestnutnotch_core::upstream::LeaveNotice;
use chestnutnotch_core::upstream::Proof;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time between two ticks of a node that is not late, and delay of a packet.
const TICK_MILLIS: u64 = 150;

/// A late node runs at one in this many ticks.
const LATE_TICKS: u64 = 4;

/// Ticks in which all nodes have to know a leave or a version: 1.95 s. The shortest time that users
/// state for either is 2 s.
const BOUND_TICKS: u64 = 13;

/// Ticks in which all routers have to know crash evidence: 3 s, the shortest time that users state.
const EVIDENCE_TICKS: u64 = 20;

/// Crashes that one router finds at once.
const CRASHES: u64 = 5;

/// Control hosts; nodes with these numbers come first.
const CONTROL_HOSTS: usize = 8;

const CENTRES: usize = 4;

/// Upstreams that leave at once.
const LEAVES: usize = 10;

/// Circumstances of a case.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// Probability that a packet is lost.
    loss: f64,
    /// Share of the routers that are late.
    late: f64,
    /// Other urgent facts that begin in each tick, at random nodes.
    urgent: usize,
    /// Other crashes that random nodes find in each tick.
    crashes: usize,
    /// Whether the queues are full of facts about nodes.
    full: bool,
    /// Nodes with numbers below this are cut off from the others; zero for no cut.
    cut: usize,
    /// Ticks between the begin of the cut and the news.
    cut_ticks: u64,
}

/// Simulated nodes that know each other, and the network between them.
struct Fleet {
    rosters: Vec<Roster>,
    numbers: Map<SocketAddr, usize>,
    leaves: Vec<Set<Upstream>>,
    proofs: Vec<Set<u64>>,
    crashes: Vec<Set<Fingerprint>>,
    /// Packets sent in this tick, and those that wait for a late node, by receiver.
    sent: Vec<(usize, usize, Packet)>,
    inbox: Vec<Vec<(usize, Packet)>>,
    rng: ChaCha8Rng,
    trouble: Trouble,
    ticks: u64,
    is_cut: bool,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (number / 200) as u8, (number % 200) as u8 + 1],
        7_000,
    ))
}

fn node(number: usize) -> NodeFact {
    NodeFact {
        host: format!("host-{number}").into(),
        role: match number < CONTROL_HOSTS {
            true => Role::Control,
            false => Role::Router,
        },
        centre: format!("centre-{}", number % CENTRES).into(),
        address: address(number),
        rpc: address(number),
        start: 1,
        beat: 0,
        leaving: false,
        plan: 1,
    }
}

impl Fleet {
    fn new(count: usize, trouble: Trouble) -> Self {
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let rosters = (0..count).map(|number| {
            let settings = RosterSettings::default();
            Roster::new(node(number), seeds.clone(), settings, number as u64)
        });
        let mut fleet = Self {
            rosters: rosters.collect(),
            numbers: (0..count).map(|number| (address(number), number)).collect(),
            leaves: vec![Set::default(); count],
            proofs: vec![Set::default(); count],
            crashes: vec![Set::default(); count],
            sent: Vec::new(),
            inbox: vec![Vec::new(); count],
            rng: ChaCha8Rng::seed_from_u64(20_261_206),
            trouble,
            ticks: 1,
            is_cut: false,
        };
        fleet.introduce();
        fleet
    }

    fn now(&self) -> Millis {
        Millis(self.ticks * TICK_MILLIS)
    }

    /// Tells all nodes of all others, and empties the queues that this fills unless they are to be full.
    fn introduce(&mut self) {
        let now = self.now();
        for roster in &mut self.rosters {
            for number in 0..self.numbers.len() {
                roster.merge(now, node(number));
            }
            if !self.trouble.full {
                (0..400).for_each(|_| drop(roster.tick(now, &[])));
            }
        }
    }

    fn is_late(&self, number: usize) -> bool {
        let routers = self.rosters.len() - CONTROL_HOSTS;
        let late = (routers as f64 * self.trouble.late) as usize;
        number >= self.rosters.len() - late
    }

    fn send(&mut self, from: usize, packets: Vec<(SocketAddr, Packet)>) {
        for (to, packet) in packets {
            if let Some(to) = self.numbers.get(&to) {
                self.sent.push((from, *to, packet));
            }
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        for (from, to, packet) in std::mem::take(&mut self.sent) {
            let cut = self.trouble.cut;
            let is_cut = self.is_cut && (from < cut) != (to < cut);
            if !is_cut && self.rng.random::<f64>() >= self.trouble.loss {
                self.inbox[to].push((from, packet));
            }
        }
        for _ in 0..self.trouble.urgent {
            let at = self.rng.random_range(0..self.rosters.len());
            let part = self.rng.random();
            self.hear_proof(at, part);
        }
        for _ in 0..self.trouble.crashes {
            let at = self.rng.random_range(0..self.rosters.len());
            let body = self.rng.random();
            self.find_crash(at, Fingerprint(body));
        }
        for number in 0..self.rosters.len() {
            if self.is_late(number) && !(self.ticks + number as u64).is_multiple_of(LATE_TICKS) {
                continue;
            }
            for (from, packet) in std::mem::take(&mut self.inbox[number]) {
                self.receive(number, from, packet);
            }
            let background = self.background(number);
            let now = self.now();
            let packets = self.rosters[number].tick(now, &background);
            self.send(number, packets);
        }
    }

    fn receive(&mut self, at: usize, from: usize, packet: Packet) {
        let now = self.now();
        self.rosters[at].record_packet(now);
        for fact in packet.facts {
            match fact {
                Fact::Node(fact) => {
                    self.rosters[at].merge(now, fact);
                }
                Fact::Leaves(notices) => notices
                    .into_iter()
                    .for_each(|notice| self.hear_leave(at, notice)),
                Fact::Proof(proof) => self.hear_proof(at, proof.part.0),
                Fact::Crash { body, .. } => self.hear_crash(at, body),
                Fact::Delivery(receipt) => {
                    let packet = Packet {
                        asks: false,
                        facts: vec![Fact::Receipt(receipt)],
                    };
                    self.send(at, vec![(address(from), packet)]);
                }
                Fact::Receipt(receipt) => self.rosters[at].confirm(address(from), &receipt),
                _ => {}
            }
        }
        if packet.asks {
            let background = self.background(at);
            let packets = self.rosters[at].full_state(now, address(from), &background);
            self.send(at, packets);
        }
    }

    /// Facts of a node that anti-entropy resends along with the known nodes.
    fn background(&self, at: usize) -> Vec<Fact> {
        let leaves = self.leaves[at].iter().map(notice);
        leaves.map(|notice| Fact::Leaves(vec![notice])).collect()
    }

    fn hear_proof(&mut self, at: usize, part: u64) {
        if self.proofs[at].insert(part) {
            let proof = Proof {
                part: PromptPart(part),
                age: Millis(1),
            };
            self.rosters[at].enqueue(Fact::Proof(proof), Urgency::Urgent);
        }
    }

    /// A node finds crash evidence.
    fn find_crash(&mut self, at: usize, body: Fingerprint) {
        self.crashes[at].insert(body);
        self.rosters[at].announce(crash(body));
    }

    /// A node hears of crash evidence.
    fn hear_crash(&mut self, at: usize, body: Fingerprint) {
        if self.crashes[at].insert(body) {
            self.rosters[at].enqueue(crash(body), Urgency::Urgent);
        }
    }

    fn hear_leave(&mut self, at: usize, notice: LeaveNotice) {
        if self.leaves[at].insert(notice.upstream.clone()) {
            let fact = Fact::Leaves(vec![notice]);
            self.rosters[at].enqueue(fact, Urgency::Deadline);
        }
    }

    /// A node acknowledges the leave of an upstream to the upstream itself.
    fn acknowledge_leave(&mut self, at: usize, number: usize) {
        let upstream = Upstream::from(format!("engine-{number}").as_str());
        self.leaves[at].insert(upstream.clone());
        self.rosters[at].announce(Fact::Leaves(vec![notice(&upstream)]));
    }

    /// Runs until the news: long enough for the other facts to be under way, and for the cut.
    fn warm_up(&mut self) {
        (0..10).for_each(|_| self.tick());
        self.is_cut = self.trouble.cut > 0;
        (0..self.trouble.cut_ticks).for_each(|_| self.tick());
    }

    /// Nodes that a node with number 0 can reach.
    fn reachable(&self) -> std::ops::Range<usize> {
        match self.trouble.cut {
            0 => 0..self.rosters.len(),
            cut => 0..cut,
        }
    }
}

fn crash(body: Fingerprint) -> Fact {
    Fact::Crash {
        body,
        upstream: Upstream::from("engine"),
        incarnation: Incarnation(1),
    }
}

fn notice(upstream: &Upstream) -> LeaveNotice {
    LeaveNotice {
        upstream: upstream.clone(),
        starts: Attribution::stated(Incarnation(1)),
        age: Millis(1),
    }
}

/// The failure: a router chose an upstream over 2.5 s after its leave had been acknowledged, as it had
/// not heard of it.
fn leaves_are_known_in_time(count: usize, trouble: Trouble) {
    let mut fleet = Fleet::new(count, trouble);
    fleet.warm_up();
    for number in 0..LEAVES {
        fleet.acknowledge_leave(number % 3, number);
    }
    (0..BOUND_TICKS).for_each(|_| fleet.tick());
    let missing = |number: &usize| LEAVES - fleet.leaves[*number].len();
    let late: Vec<(usize, usize)> = fleet
        .reachable()
        .map(|number| (number, missing(&number)))
        .filter(|(_, missing)| *missing > 0)
        .collect();
    assert!(late.is_empty(), "nodes and leaves that they miss: {late:?}");
}

/// The failure: a router did not know of a version of the routes in the time in which it has to be in
/// force.
fn version_is_known_in_time(count: usize, trouble: Trouble) {
    let mut fleet = Fleet::new(count, trouble);
    fleet.warm_up();
    fleet.rosters[0].update_own(|own| own.plan = 7);
    (0..BOUND_TICKS).for_each(|_| fleet.tick());
    let now = fleet.now();
    let known = |fleet: &mut Fleet, number: usize| {
        let holder = fleet.rosters[number].newest_plan_holder(now, None, &[]);
        holder.map(|fact| fact.plan)
    };
    let late: Vec<usize> = fleet
        .reachable()
        .skip(1)
        .filter(|number| known(&mut fleet, *number) != Some(7))
        .collect();
    assert!(late.is_empty(), "nodes that do not know of it: {late:?}");
}

/// The failure: routers that had not heard of crashes sent the requests that cause them on.
fn evidence_is_known_in_time(count: usize, trouble: Trouble) {
    let mut fleet = Fleet::new(count, trouble);
    fleet.warm_up();
    let bodies = (0..CRASHES).map(|crash| Fingerprint(u128::from(crash).to_be_bytes()));
    let bodies: Vec<Fingerprint> = bodies.collect();
    for body in &bodies {
        let finder = fleet.reachable().end - 1;
        fleet.find_crash(finder, *body);
    }
    (0..EVIDENCE_TICKS).for_each(|_| fleet.tick());
    let knows_all = |number: usize| {
        let known = &fleet.crashes[number];
        bodies.iter().all(|body| known.contains(body))
    };
    let late: Vec<usize> = fleet
        .reachable()
        .filter(|number| !knows_all(*number))
        .collect();
    assert!(late.is_empty(), "nodes that miss evidence: {late:?}");
}

macro_rules! known_in_time {
    ($($name:ident: $check:ident, $count:literal, { $($field:ident: $value:expr),* };)*) => {$(
        #[test]
        fn $name() {
            $check($count, Trouble { $($field: $value,)* ..Trouble::default() });
        }
    )*};
}

known_in_time! {
    leaves_are_late_beside_other_news_at_82_hosts:
        leaves_are_known_in_time, 82, { loss: 0.1, late: 0.4, urgent: 20, full: true };
    leaves_are_late_beside_other_news_at_200_hosts:
        leaves_are_known_in_time, 200, { loss: 0.1, late: 0.3, urgent: 20, full: true };
    leaves_are_late_beside_other_news_at_1000_hosts:
        leaves_are_known_in_time, 1_000, { loss: 0.1, late: 0.1, urgent: 20, full: true };
    leaves_are_late_on_lossy_links:
        leaves_are_known_in_time, 82, { loss: 0.3, late: 0.4, urgent: 20 };
    leaves_are_late_on_the_small_side_of_a_cut:
        leaves_are_known_in_time, 82, { loss: 0.1, urgent: 5, cut: 6, cut_ticks: 25 };
    leaves_are_late_right_after_a_cut_began:
        leaves_are_known_in_time, 200, { loss: 0.1, urgent: 5, cut: 20, cut_ticks: 1 };
    versions_are_late_beside_other_news_at_82_hosts:
        version_is_known_in_time, 82, { loss: 0.1, late: 0.4, urgent: 20, full: true };
    versions_are_late_beside_other_news_at_200_hosts:
        version_is_known_in_time, 200, { loss: 0.1, late: 0.3, urgent: 20, full: true };
    versions_are_late_beside_other_news_at_1000_hosts:
        version_is_known_in_time, 1_000, { loss: 0.1, late: 0.1, urgent: 20, full: true };
    versions_are_late_on_the_small_side_of_a_cut:
        version_is_known_in_time, 82, { loss: 0.1, urgent: 5, cut: 6, cut_ticks: 25 };
    evidence_is_late_beside_other_news_at_82_hosts:
        evidence_is_known_in_time, 82, { loss: 0.1, urgent: 5 };
    evidence_is_late_beside_other_news_at_200_hosts:
        evidence_is_known_in_time, 200, { loss: 0.1, urgent: 5 };
    evidence_is_late_on_the_small_side_of_a_cut:
        evidence_is_known_in_time, 82, { loss: 0.1, urgent: 5, cut: 12, cut_ticks: 25 };
    evidence_is_late_on_the_small_side_of_a_cut_at_200_hosts:
        evidence_is_known_in_time, 200, { loss: 0.1, urgent: 5, cut: 20, cut_ticks: 25 };
    evidence_is_late_right_after_a_cut_began:
        evidence_is_known_in_time, 200, { loss: 0.1, urgent: 5, cut: 20, cut_ticks: 1 };
    evidence_is_late_beside_other_news_at_1000_hosts:
        evidence_is_known_in_time, 1_000, { loss: 0.1, late: 0.1, urgent: 20, full: true };
    evidence_is_late_on_the_small_side_of_a_cut_at_1000_hosts:
        evidence_is_known_in_time, 1_000, { urgent: 5, cut: 100, cut_ticks: 25 };
    evidence_is_late_beside_other_crashes_at_82_hosts:
        evidence_is_known_in_time, 82, { loss: 0.1, late: 0.4, crashes: 20, full: true };
    evidence_is_late_beside_other_crashes_at_200_hosts:
        evidence_is_known_in_time, 200, { loss: 0.1, late: 0.3, crashes: 20, full: true };
    evidence_is_late_on_lossy_links:
        evidence_is_known_in_time, 82, { loss: 0.3, late: 0.4, urgent: 20, cut: 12, cut_ticks: 25 };
    leaves_are_late_beside_crashes_at_82_hosts:
        leaves_are_known_in_time, 82, { loss: 0.1, late: 0.4, crashes: 20, full: true };
    leaves_are_late_beside_crashes_at_200_hosts:
        leaves_are_known_in_time, 200, { loss: 0.1, late: 0.3, crashes: 20, full: true };
    versions_are_late_beside_crashes_at_200_hosts:
        version_is_known_in_time, 200, { loss: 0.1, late: 0.3, crashes: 20, full: true };
}
