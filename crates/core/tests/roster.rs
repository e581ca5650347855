//! Nodes find each other from the seeds, through losses and partitions.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use chestnutnotch_core::roster::Fact;
use chestnutnotch_core::roster::NodeFact;
use chestnutnotch_core::roster::Packet;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::roster::Roster;
use chestnutnotch_core::roster::RosterRules;
use chestnutnotch_core::unit::Millis;
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

struct World {
    rosters: Vec<Roster>,
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
            if let Fact::Node(fact) = fact {
                self.rosters[at].hear(now, fact.clone());
            }
        }
        if packet.asks {
            for (to, packet) in self.rosters[at].all(address(from), &[]) {
                self.deliver(at, to, &packet);
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for from in 0..self.rosters.len() {
            for (to, packet) in self.rosters[from].tick(Millis(self.now), &[]) {
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
