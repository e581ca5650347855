//! The nodes that a node knows.

use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::fact::Fact;
use super::fact::NodeFact;
use super::fact::Packet;
use super::fact::Role;
use super::spread::Hot;
use super::spread::News;
use crate::map::Map;
use crate::unit::Millis;

/// Settings of a [`Roster`]. Spans are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RosterRules {
    /// Nodes that get a packet at each tick.
    pub fanout: usize,
    /// A node that was not heard of for so long does not count as live.
    pub silent: Millis,
    /// Added to `silent` for each node known: the slow round takes longer the more there are.
    pub more: Millis,
    /// A node that was not heard of for so long is forgotten.
    pub forget: Millis,
    /// Without any packet for so long, a node asks for all that others know.
    pub deaf: Millis,
    /// Every so many ticks a packet also goes to a seed or a node that is not live, so that parts of
    /// a partition find each other again.
    pub reach: u64,
}

impl Default for RosterRules {
    fn default() -> Self {
        Self {
            fanout: 2,
            silent: Millis(3_000),
            more: Millis(60),
            forget: Millis(120_000),
            deaf: Millis(1_000),
            reach: 4,
        }
    }
}

/// Most facts in one packet: it then fits one datagram of the usual size.
const PACKET_FACTS: usize = 14;

/// Most packets to one node at one tick.
const TICK_PACKETS: usize = 3;

/// Facts of the slow round that each tick has room for, whatever is news.
const SLOW_FACTS: usize = 4;

/// Most nodes known at once.
const NODES: usize = 4_096;

/// The nodes that a node knows, itself included, and the facts that it passes on.
#[derive(Clone, Debug)]
pub struct Roster {
    own: NodeFact,
    rules: RosterRules,
    seeds: Vec<SocketAddr>,
    nodes: Map<SocketAddr, Known>,
    hot: Hot,
    heard: Option<Millis>,
    ticks: u64,
    cursor: usize,
    rng: ChaCha8Rng,
}

#[derive(Clone, Debug)]
struct Known {
    fact: NodeFact,
    heard: Millis,
}

impl Roster {
    /// A roster that knows its seeds only. Nodes need different random seeds.
    pub fn new(own: NodeFact, seeds: Vec<SocketAddr>, rules: RosterRules, seed: u64) -> Self {
        Self {
            own,
            rules,
            seeds,
            nodes: Map::default(),
            hot: Hot::default(),
            heard: None,
            ticks: 0,
            cursor: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The own account.
    pub fn own(&self) -> &NodeFact {
        &self.own
    }

    /// Changes the own account; it goes out as urgent news.
    pub fn update(&mut self, change: impl FnOnce(&mut NodeFact)) {
        change(&mut self.own);
        self.own.beat += 1;
        self.hot.push(Fact::Node(self.own.clone()), News::Urgent);
    }

    /// Replaces the seeds.
    pub fn reseed(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Passes a new fact on.
    pub fn pass(&mut self, fact: Fact, news: News) {
        self.hot.push(fact, news);
    }

    /// Takes in another node's account. Returns whether a node became known, left, came back or has
    /// newer routes.
    pub fn hear(&mut self, now: Millis, fact: NodeFact) -> bool {
        if fact.address == self.own.address {
            self.refute(&fact);
            return false;
        }
        let known = self.nodes.get(&fact.address);
        if known.is_some_and(|known| !fact.replaces(&known.fact)) {
            return false;
        }
        if known.is_none() && self.nodes.len() >= NODES {
            return false;
        }
        let is_standing = known.is_none_or(|known| {
            known.fact.start != fact.start || known.fact.leaving != fact.leaving
        });
        let is_ahead = known.is_none_or(|known| known.fact.plan < fact.plan);
        let is_change = is_standing || is_ahead;
        // Who else has the newest routes goes round slowly; each node tells its own neighbours.
        if is_standing || fact.plan > self.highest() {
            self.hot.push(Fact::Node(fact.clone()), News::Urgent);
        }
        let known = Known { fact, heard: now };
        self.nodes.insert(known.fact.address, known);
        is_change
    }

    /// Highest version of the routes that any known node has, this one included.
    fn highest(&self) -> u64 {
        let others = self.nodes.values().map(|known| known.fact.plan);
        others.max().unwrap_or(0).max(self.own.plan)
    }

    /// Notes that a packet arrived.
    pub fn touched(&mut self, now: Millis) {
        self.heard = Some(now);
    }

    /// An account of this node that is newer than its own is of an earlier start with a clock ahead:
    /// the own start moves past it.
    fn refute(&mut self, fact: &NodeFact) {
        if fact.start > self.own.start {
            let start = fact.start + 1;
            self.update(|own| own.start = start);
        }
    }

    /// Packets to send now. `cold` are the facts of others that go round slowly.
    pub fn tick(&mut self, now: Millis, cold: &[Fact]) -> Vec<(SocketAddr, Packet)> {
        self.ticks += 1;
        self.own.beat += 1;
        let forget = self.rules.forget;
        self.nodes.retain(|_, known| now < known.heard + forget);
        let targets = self.targets(now);
        let asks = self
            .heard
            .is_none_or(|heard| now >= heard + self.rules.deaf);
        let hot = self.hot.take(PACKET_FACTS * TICK_PACKETS - SLOW_FACTS - 1);
        let mut packets = Vec::new();
        for target in targets {
            let mut facts = vec![Fact::Node(self.own.clone())];
            facts.extend(hot.iter().cloned());
            let room = PACKET_FACTS.saturating_sub(facts.len()).max(SLOW_FACTS);
            facts.extend(self.slice(room, cold));
            packets.extend(split(target, asks, facts));
        }
        packets
    }

    /// All that is known, for a node that asks.
    pub fn all(&self, to: SocketAddr, cold: &[Fact]) -> Vec<(SocketAddr, Packet)> {
        let nodes = self.nodes.values().map(|known| &known.fact);
        let nodes = nodes.chain([&self.own]).cloned().map(Fact::Node);
        let facts = nodes.chain(cold.iter().cloned()).collect();
        split(to, false, facts).collect()
    }

    /// The next facts of the slow round.
    fn slice(&mut self, count: usize, cold: &[Fact]) -> Vec<Fact> {
        let nodes: Vec<&Known> = self.nodes.values().collect();
        let total = nodes.len() + cold.len();
        let mut out = Vec::with_capacity(count);
        for step in 0..count.min(total) {
            let at = (self.cursor + step) % total;
            match nodes.get(at) {
                Some(known) => out.push(Fact::Node(known.fact.clone())),
                None => out.push(cold[at - nodes.len()].clone()),
            }
        }
        self.cursor = (self.cursor + out.len()) % total.max(1);
        out
    }

    fn targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self.live(now).map(|fact| fact.address).collect();
        let mut targets: Vec<SocketAddr> = live
            .sample(&mut self.rng, self.rules.fanout)
            .copied()
            .collect();
        if live.is_empty() || self.ticks.is_multiple_of(self.rules.reach) {
            let silent = self.nodes.keys().filter(|at| !live.contains(at));
            let seeds = self.seeds.iter().filter(|at| !live.contains(at));
            let far: Vec<SocketAddr> = silent
                .chain(seeds)
                .copied()
                .filter(|at| *at != self.own.address)
                .collect();
            if !far.is_empty() {
                targets.push(far[self.rng.random_range(0..far.len())]);
            }
        }
        targets
    }

    fn is_live(&self, now: Millis, known: &Known) -> bool {
        let nodes = self.nodes.len() as u64;
        let silent = self.rules.silent + Millis(nodes * self.rules.more.0);
        now < known.heard + silent && !known.fact.leaving
    }

    /// The other nodes that were heard of lately and are not about to stop.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &NodeFact> {
        let live = self.nodes.values();
        live.filter(move |known| self.is_live(now, known))
            .map(|known| &known.fact)
    }

    /// Number of live nodes with a role, this one included.
    pub fn count(&self, now: Millis, role: Role) -> usize {
        let others = self.live(now).filter(|fact| fact.role == role).count();
        others + usize::from(self.own.role == role)
    }

    /// Where the nodes with a role answer calls, live ones first.
    pub fn rpc(&self, now: Millis, role: Role) -> Vec<SocketAddr> {
        let of_role = self.nodes.values().filter(|known| known.fact.role == role);
        let mut all: Vec<(bool, SocketAddr)> = of_role
            .map(|known| (!self.is_live(now, known), known.fact.rpc))
            .collect();
        all.sort();
        all.into_iter().map(|(_, rpc)| rpc).collect()
    }

    /// A live node with newer routes than this one, of the own data centre if there is one.
    pub fn ahead(&mut self, now: Millis) -> Option<NodeFact> {
        let own = self.own.plan;
        let highest = self.live(now).map(|fact| fact.plan).max()?;
        if highest <= own {
            return None;
        }
        let holders = self.live(now).filter(|fact| fact.plan == highest);
        let holders: Vec<NodeFact> = holders.cloned().collect();
        let near = |fact: &&NodeFact| fact.centre == self.own.centre;
        let close: Vec<&NodeFact> = holders.iter().filter(near).collect();
        match close.choose(&mut self.rng) {
            Some(fact) => Some((*fact).clone()),
            None => holders.choose(&mut self.rng).cloned(),
        }
    }
}

fn split(
    to: SocketAddr,
    asks: bool,
    facts: Vec<Fact>,
) -> impl Iterator<Item = (SocketAddr, Packet)> {
    let mut asks = asks;
    let packets: Vec<(SocketAddr, Packet)> = facts
        .chunks(PACKET_FACTS)
        .map(|facts| {
            let facts = facts.to_vec();
            let packet = Packet { asks, facts };
            asks = false;
            (to, packet)
        })
        .collect();
    packets.into_iter()
}
