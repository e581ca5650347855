//! Nodes find each other from the seeds, through losses and partitions.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::News;
use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Packet;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::roster::Roster;
use chestnutnotch_core::roster::RosterRules;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TICK: u64 = 150;

fn address(number: usize) -> SocketAddr {
    format!("10.0.{}.{}:7000", number / 200, number % 200 + 1)
        .parse()
        .unwrap()
}

fn node(number: usize, start: u64) -> NodeFact {
    NodeFact {
        host: format!("host-{number}").into(),
        role: if number < 3 {
            Role::Control
        } else {
            Role::Router
        },
        centre: format!("centre-{}", number % 3).into(),
        address: address(number),
        rpc: address(number),
        start,
        beat: 0,
        leaving: false,
        plan: 0,
    }
}

fn upstream(number: usize, seq: u64) -> Announcement {
    Announcement {
        upstream: format!("engine-{number}").into(),
        incarnation: Incarnation(1),
        seq,
        address: address(1_000 + number),
        centre: "centre-0".into(),
        phase: Phase::Ready,
        offer: Offer::Service("model".into()),
        slots: 8,
        load: Load::default(),
        fences: false,
        cached: Vec::new(),
        evicted: Vec::new(),
    }
}

struct World {
    rosters: Vec<Roster>,
    /// For each node, the last announcement of each upstream with the time at which it came.
    heard: Vec<BTreeMap<String, (Announcement, u64)>>,
    rng: ChaCha8Rng,
    now: u64,
    loss: f64,
    /// Nodes below this number and the others can't reach each other.
    cut: usize,
}

impl World {
    fn new(count: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let roster = |number| {
            let rules = RosterRules::default();
            Roster::new(node(number, 1), seeds.clone(), rules, number as u64)
        };
        Self {
            rosters: (0..count).map(roster).collect(),
            heard: vec![BTreeMap::new(); count],
            rng: ChaCha8Rng::seed_from_u64(20_261_204),
            now: 0,
            loss: 0.1,
            cut: 0,
        }
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, packet: &Packet) {
        let Some(at) = (0..self.rosters.len()).find(|number| address(*number) == to) else {
            return;
        };
        let is_cut = (from < self.cut) != (at < self.cut);
        if is_cut || self.rng.random::<f64>() < self.loss {
            return;
        }
        let now = Millis(self.now);
        self.rosters[at].touched(now);
        for fact in &packet.facts {
            match fact {
                Fact::Node(fact) => {
                    self.rosters[at].hear(now, fact.clone());
                }
                Fact::Upstream(said) => self.announce(at, (**said).clone()),
                Fact::Crash { .. } => {}
            }
        }
        if packet.asks {
            let cold = self.cold(at);
            for (to, packet) in self.rosters[at].all(address(from), &cold) {
                self.deliver(at, to, &packet);
            }
        }
    }

    /// A node hears an announcement, and passes a newer one on.
    fn announce(&mut self, at: usize, said: Announcement) {
        let name = said.upstream.to_string();
        let known = self.heard[at].get(&name);
        if known.is_some_and(|(known, _)| known.seq >= said.seq) {
            return;
        }
        let fact = Fact::Upstream(Box::new(said.clone()));
        self.rosters[at].pass(fact, News::Refresh);
        self.heard[at].insert(name, (said, self.now));
    }

    fn cold(&self, at: usize) -> Vec<Fact> {
        let said = self.heard[at].values().map(|(said, _)| said.clone());
        said.map(|said| Fact::Upstream(Box::new(said))).collect()
    }

    /// Greatest age of what any node knows of any upstream.
    fn oldest(&self) -> u64 {
        let heard = self.heard.iter().flat_map(BTreeMap::values);
        heard.map(|(_, at)| self.now - at).max().unwrap_or(0)
    }

    fn tick(&mut self) {
        self.now += TICK;
        for from in 0..self.rosters.len() {
            let cold = self.cold(from);
            for (to, packet) in self.rosters[from].tick(Millis(self.now), &cold) {
                self.deliver(from, to, &packet);
            }
        }
    }

    fn live(&self, number: usize) -> usize {
        self.rosters[number].live(Millis(self.now)).count()
    }
}

macro_rules! whole {
    ($($name:ident: $count:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut world = World::new($count);
            for _ in 0..40 {
                world.tick();
            }
            for number in 0..$count {
                assert_eq!(world.live(number), $count - 1, "node {number}");
            }
        }
    )*};
}

whole! {
    four_nodes: 4;
    fifteen_nodes: 15;
    ninety_nodes: 90;
}

#[test]
fn partition_heals() {
    let mut world = World::new(15);
    (0..30).for_each(|_| world.tick());
    world.cut = 3;
    (0..60).for_each(|_| world.tick());
    assert_eq!(world.live(0), 2, "the other side is silent");
    assert_eq!(world.live(14), 11);
    world.cut = 0;
    (0..30).for_each(|_| world.tick());
    for number in 0..15 {
        assert_eq!(world.live(number), 14);
    }
}

#[test]
fn newer_routes_are_known_everywhere_soon() {
    let mut world = World::new(90);
    (0..40).for_each(|_| world.tick());
    world.rosters[0].update(|own| own.plan = 7);
    // Two seconds, within which routes have to be in force.
    (0..13).for_each(|_| world.tick());
    for number in 1..90 {
        let ahead = world.rosters[number].ahead(Millis(world.now));
        assert_eq!(ahead.map(|fact| fact.plan), Some(7), "node {number}");
    }
}

#[test]
fn node_that_starts_again_with_a_clock_behind_is_heard() {
    let mut world = World::new(5);
    (0..20).for_each(|_| world.tick());
    let seeds = (0..3).map(address).collect();
    world.rosters[4] = Roster::new(node(4, 0), seeds, RosterRules::default(), 44);
    world.rosters[4].update(|own| own.plan = 9);
    (0..20).for_each(|_| world.tick());
    let ahead = world.rosters[1].ahead(Millis(world.now));
    assert_eq!(ahead.map(|fact| fact.plan), Some(9));
}

#[test]
fn heartbeats_are_heard_through_many_new_routes() {
    const UPSTREAMS: usize = 60;
    const BEAT_TICKS: u64 = 8;
    const FRESH_MILLIS: u64 = 5_000;
    let mut world = World::new(90);
    for tick in 0..160_u64 {
        for number in 0..UPSTREAMS {
            // Each tells one of the control nodes each 1.2 seconds.
            if (tick + number as u64).is_multiple_of(BEAT_TICKS) {
                world.announce(number % 3, upstream(number, tick + 1));
            }
        }
        // Four seconds with new routes at each tick; each node takes them as soon as it hears of them.
        if (60..87).contains(&tick) {
            world.rosters[0].update(|own| own.plan = tick);
        }
        for number in 1..90 {
            let ahead = world.rosters[number].ahead(Millis(world.now));
            if let Some(newer) = ahead {
                world.rosters[number].update(|own| own.plan = newer.plan);
            }
        }
        world.tick();
        if tick > 40 {
            assert!(
                world.oldest() < FRESH_MILLIS,
                "tick {tick}: {}",
                world.oldest()
            );
        }
    }
}
