//! The membership table of a node: merges gossip, detects failed nodes and picks gossip targets.

use std::net::SocketAddr;

use postcard::ser_flavors::Size;
use postcard::serialize_with_flavor;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::delivery::Deliveries;
use super::delivery::Receipt;
use super::delivery::Receiver;
use super::delivery::Unconfirmed;
use super::fact::Fact;
use super::fact::NodeFact;
use super::fact::Packet;
use super::fact::Role;
use super::spread::GossipQueue;
use super::spread::Urgency;
use crate::id::Fingerprint;
use crate::id::Host;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Millis;
use crate::upstream::assignment;
use crate::upstream::rate::Reach;

/// Settings of a [`Roster`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RosterSettings {
    /// Number of live nodes that get packets at each tick.
    pub fanout: usize,
    /// Time since a node's last heartbeat after which it no longer counts as live.
    pub failure_timeout: Millis,
    /// Added to `failure_timeout` for each known node, as anti-entropy takes longer to send them
    /// all.
    pub node_allowance: Millis,
    /// Time since a node's last heartbeat after which its entry is removed.
    pub retention: Millis,
    /// Time without any packet after which this node asks others for their full state.
    pub isolation_timeout: Millis,
    /// Number of ticks between packets to a seed or a node that is not live, so that the sides of a
    /// partition find each other again.
    pub probe_ticks: u64,
}

impl Default for RosterSettings {
    fn default() -> Self {
        Self {
            fanout: 2,
            failure_timeout: Millis(3_000),
            node_allowance: Millis(60),
            retention: Millis(120_000),
            isolation_timeout: Millis(1_000),
            probe_ticks: 4,
        }
    }
}

/// Most facts in one packet, so that it fits in a datagram of the usual size.
const MAX_PACKET_FACTS: usize = 14;

/// Largest packet, in bytes, and size of the buffer in which packets are received. Larger datagrams
/// are cut off, and all of their facts are lost.
pub const MAX_PACKET_BYTES: usize = 16 << 10;

/// Bytes of a packet besides its facts: the flag and the number of facts.
const PACKET_HEADER_BYTES: usize = 2;

/// Generations of nodes are below this, so that a process can take a higher one than is reported of
/// its address. No clock gives such a time.
const GENERATION_LIMIT: u64 = u64::MAX / 2;

/// Most packets to one node in a tick.
const MAX_TICK_PACKETS: usize = 3;

/// Facts that each tick reserves for anti-entropy, however many new facts wait.
const ANTI_ENTROPY_FACTS: usize = 4;

/// Most other nodes in the table; further ones are ignored.
const MAX_NODES: usize = 4_096;

/// This node's own state, the other nodes that it knows, and the new facts that it passes on.
///
/// Times are of the node's own clock; the caller passes them in.
#[derive(Clone, Debug)]
pub struct Roster {
    own: NodeFact,
    settings: RosterSettings,
    seeds: Vec<SocketAddr>,
    nodes: Map<SocketAddr, Member>,
    queue: GossipQueue,
    deliveries: Deliveries,
    /// Time of the last packet from any node.
    last_packet: Option<Millis>,
    ticks: u64,
    /// Position in the known facts at which the next round of anti-entropy starts.
    cursor: usize,
    rng: ChaCha8Rng,
}

/// Another node with the time at which its last newer heartbeat arrived.
#[derive(Clone, Debug)]
struct Member {
    fact: NodeFact,
    last_heartbeat: Millis,
}

impl Roster {
    /// Creates a roster that knows no other node yet. `seeds` are the addresses to contact first;
    /// `seed` starts the random choice of targets and has to differ between nodes.
    pub fn new(own: NodeFact, seeds: Vec<SocketAddr>, settings: RosterSettings, seed: u64) -> Self {
        Self {
            own,
            settings,
            seeds,
            nodes: Map::default(),
            queue: GossipQueue::default(),
            deliveries: Deliveries::default(),
            last_packet: None,
            ticks: 0,
            cursor: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns this node's own state.
    pub fn own(&self) -> &NodeFact {
        &self.own
    }

    /// Changes this node's own state and queues it as an urgent fact.
    ///
    /// The first control host that has a newer plan version delivers it to all others: it was there
    /// when the version was acknowledged.
    pub fn update_own(&mut self, change: impl FnOnce(&mut NodeFact)) {
        let highest = self.highest_plan();
        change(&mut self.own);
        self.own.beat += 1;
        let fact = Fact::Node(self.own.clone());
        match self.own.role {
            Role::Control if self.own.plan > highest => {
                self.announce(fact);
            }
            _ => self.queue.push(fact, Urgency::Urgent),
        }
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Queues a new fact to be passed on.
    pub fn enqueue(&mut self, fact: Fact, urgency: Urgency) {
        self.queue.push(fact, urgency);
    }

    /// Takes news that this node answers for, as their subject told it or as it found them: they are
    /// gossiped, and delivered to each other node until that one confirms them. Crash evidence and
    /// proofs go behind all others, at a bounded rate. Returns whether the news are not under way
    /// already.
    pub fn announce(&mut self, fact: Fact) -> bool {
        let urgency = match fact.is_finding() {
            true => Urgency::Urgent,
            false => Urgency::Deadline,
        };
        let nodes = self.nodes.keys().copied();
        let is_new = self.deliveries.begin(fact.clone(), nodes);
        if is_new {
            self.queue.push(fact, urgency);
        }
        is_new
    }

    /// Records that a node has confirmed news of this node.
    pub fn confirm(&mut self, from: SocketAddr, receipt: &Receipt) {
        // An earlier process at this address gave its news the same numbers.
        if receipt.start == self.own.start {
            self.deliveries.confirm(from, &receipt.numbers);
        }
    }

    /// Returns the news, other than crash evidence and proofs, that live nodes have not confirmed `age`
    /// after they were first sent.
    pub fn unconfirmed(&self, now: Millis, age: Millis) -> Vec<Unconfirmed> {
        self.deliveries
            .unconfirmed(now, age, |address| self.receiver(now, address))
    }

    fn receiver(&self, now: Millis, address: &SocketAddr) -> Receiver {
        match self.nodes.get(address) {
            None => Receiver::Removed,
            // A node that is about to stop still sends requests.
            Some(member) if self.is_heard(now, member) => Receiver::Live,
            Some(_) => Receiver::Silent,
        }
    }

    /// Merges the state of another node if it is newer. Returns whether the node is new, restarted,
    /// started or stopped leaving, or has newer routes. Ignores a generation that no node can have.
    pub fn merge(&mut self, now: Millis, fact: NodeFact) -> bool {
        if fact.start >= GENERATION_LIMIT {
            return false;
        }
        if fact.address == self.own.address {
            self.refute(&fact);
            return false;
        }
        let known = self.nodes.get(&fact.address);
        if known.is_some_and(|known| !fact.is_newer_than(&known.fact)) {
            return false;
        }
        if known.is_none() && self.nodes.len() >= MAX_NODES {
            return false;
        }
        let is_status_change = known.is_none_or(|known| {
            known.fact.start != fact.start || known.fact.leaving != fact.leaving
        });
        let has_newer_plan = known.is_none_or(|known| known.fact.plan < fact.plan);
        let is_change = is_status_change || has_newer_plan;
        // Only the first node with a new plan version is urgent. Others that have it say so in the
        // state that they send at every tick; anti-entropy carries it further.
        if fact.plan > self.highest_plan() {
            self.queue.push(Fact::Node(fact.clone()), Urgency::Deadline);
        } else if is_status_change {
            self.queue.push(Fact::Node(fact.clone()), Urgency::Urgent);
        }
        if known.is_none_or(|known| known.fact.start != fact.start) {
            self.deliveries.add_node(fact.address);
        }
        let member = Member {
            fact,
            last_heartbeat: now,
        };
        self.nodes.insert(member.fact.address, member);
        is_change
    }

    /// Returns the highest plan version among all known nodes, this one included.
    fn highest_plan(&self) -> u64 {
        let others = self.nodes.values().map(|member| member.fact.plan);
        others.max().unwrap_or(0).max(self.own.plan)
    }

    /// Records that a packet arrived from any node.
    pub fn record_packet(&mut self, now: Millis) {
        self.last_packet = Some(now);
    }

    /// Raises the own generation above that of a newer state that others report. An earlier process
    /// at this address has such a state if its clock was ahead; others would ignore this process.
    fn refute(&mut self, fact: &NodeFact) {
        if fact.is_newer_than(&self.own) {
            let start = fact.start + 1;
            self.update_own(|own| own.start = start);
        }
    }

    /// Advances the heartbeat, removes expired nodes and returns the packets to send. `background`
    /// are facts stored outside the roster that anti-entropy resends along with the known nodes.
    pub fn tick(&mut self, now: Millis, background: &[Fact]) -> Vec<(SocketAddr, Packet)> {
        self.ticks += 1;
        self.own.beat += 1;
        let retention = self.settings.retention;
        let is_expired = |member: &mut Member| now >= member.last_heartbeat + retention;
        for (address, _) in self.nodes.extract_if(|_, member| is_expired(member)) {
            self.deliveries.remove_node(&address);
        }
        let targets = self.pick_targets(now);
        let asks = self
            .last_packet
            .is_none_or(|last| now >= last + self.settings.isolation_timeout);
        let new_facts = self
            .queue
            .take(MAX_PACKET_FACTS * MAX_TICK_PACKETS - ANTI_ENTROPY_FACTS - 1);
        let mut packets = Vec::new();
        for target in targets {
            let mut facts = vec![Fact::Node(self.own.clone())];
            facts.extend(new_facts.iter().cloned());
            let room = MAX_PACKET_FACTS
                .saturating_sub(facts.len())
                .max(ANTI_ENTROPY_FACTS);
            facts.extend(self.next_anti_entropy(now, room, background));
            packets.extend(into_packets(target, asks, facts));
        }
        packets.extend(self.due_deliveries(now));
        packets
    }

    /// Returns the packets with news that other nodes have yet to confirm.
    fn due_deliveries(&mut self, now: Millis) -> impl Iterator<Item = (SocketAddr, Packet)> {
        let mut deliveries = std::mem::take(&mut self.deliveries);
        let due = deliveries.due(now, &self.own, |address| self.receiver(now, address));
        self.deliveries = deliveries;
        due.into_iter()
            .map(|(to, facts)| (to, Packet { asks: false, facts }))
    }

    /// Returns packets with everything that this node resends, for a node that asks for it.
    /// `background` is as for [`Self::tick`].
    pub fn full_state(
        &self,
        now: Millis,
        to: SocketAddr,
        background: &[Fact],
    ) -> Vec<(SocketAddr, Packet)> {
        let nodes = self.resent_nodes(now).chain([&self.own]);
        let nodes = nodes.cloned().map(Fact::Node);
        let facts = nodes.chain(background.iter().cloned()).collect();
        into_packets(to, false, facts).collect()
    }

    /// Returns the nodes that anti-entropy resends. Those not heard of for half of the retention are left
    /// out, or a node that has removed one would get it back from one that removes it later.
    fn resent_nodes(&self, now: Millis) -> impl Iterator<Item = &NodeFact> {
        let lifetime = Millis(self.settings.retention.0 / 2);
        let members = self.nodes.values();
        members
            .filter(move |member| now < member.last_heartbeat + lifetime)
            .map(|member| &member.fact)
    }

    /// Returns the next `count` facts of anti-entropy and moves the cursor past them. The known
    /// nodes come first in each round, then `background`.
    fn next_anti_entropy(&mut self, now: Millis, count: usize, background: &[Fact]) -> Vec<Fact> {
        let nodes: Vec<&NodeFact> = self.resent_nodes(now).collect();
        let total = nodes.len() + background.len();
        let mut out = Vec::with_capacity(count);
        for step in 0..count.min(total) {
            let at = (self.cursor + step) % total;
            match nodes.get(at) {
                Some(fact) => out.push(Fact::Node((*fact).clone())),
                None => out.push(background[at - nodes.len()].clone()),
            }
        }
        self.cursor = (self.cursor + out.len()) % total.max(1);
        out
    }

    /// Picks random live nodes. Every few ticks, or if no node is live, it adds a seed or a node
    /// that is not live.
    fn pick_targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self.live(now).map(|fact| fact.address).collect();
        let mut targets: Vec<SocketAddr> = live
            .sample(&mut self.rng, self.settings.fanout)
            .copied()
            .collect();
        if live.is_empty() || self.ticks.is_multiple_of(self.settings.probe_ticks) {
            let is_live = |at: &&SocketAddr| {
                let member = self.nodes.get(*at);
                member.is_some_and(|member| self.is_live(now, member))
            };
            let failed = self.nodes.keys().filter(|at| !is_live(at));
            let seeds = self.seeds.iter().filter(|at| !is_live(at));
            let probes: Vec<SocketAddr> = failed
                .chain(seeds)
                .copied()
                .filter(|at| *at != self.own.address)
                .collect();
            if !probes.is_empty() {
                targets.push(probes[self.rng.random_range(0..probes.len())]);
            }
        }
        targets
    }

    /// Returns whether a node's last heartbeat is within the failure timeout.
    fn is_heard(&self, now: Millis, member: &Member) -> bool {
        let nodes = self.nodes.len() as u64;
        let timeout =
            self.settings.failure_timeout + Millis(nodes * self.settings.node_allowance.0);
        now < member.last_heartbeat + timeout
    }

    /// Returns whether a node's last heartbeat is within the failure timeout and it is not leaving.
    fn is_live(&self, now: Millis, member: &Member) -> bool {
        self.is_heard(now, member) && !member.fact.leaving
    }

    /// Returns the other nodes within the failure timeout that are not leaving.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &NodeFact> {
        let members = self.nodes.values();
        members
            .filter(move |member| self.is_live(now, member))
            .map(|member| &member.fact)
    }

    /// Returns the number of live nodes with a role, this one included.
    pub fn count_live(&self, now: Millis, role: Role) -> usize {
        let others = self.live(now).filter(|fact| fact.role == role).count();
        others + usize::from(self.own.role == role)
    }

    /// Returns how many of the routers this router can reach. Those that left by a planned stop do not
    /// count as known.
    pub fn reach(&self, now: Millis) -> Reach {
        let members = self.nodes.values().map(|member| &member.fact);
        let known = members.filter(|fact| fact.role == Role::Router && !fact.leaving);
        Reach {
            live: self.count_live(now, Role::Router),
            known: known.count() + usize::from(self.own.role == Role::Router),
        }
    }

    /// Returns the gossip address of the router that owns the rate of an upstream, as far as this
    /// router knows; it may be its own.
    pub fn rate_owner(&self, now: Millis, upstream: &Upstream) -> SocketAddr {
        let routers = self.live(now).filter(|fact| fact.role == Role::Router);
        let routers: Vec<&NodeFact> = routers.chain([&self.own]).collect();
        let owner = assignment::rate_owner(routers.iter().map(|fact| &fact.host), upstream);
        let owner = routers.iter().find(|fact| Some(&fact.host) == owner);
        owner.map_or(self.own.address, |fact| fact.address)
    }

    /// Returns the gossip addresses of the `count` other live routers that keep the beginning of a
    /// stream, best first. When a router joins or is lost, only its own streams get other keepers.
    pub fn origin_keepers(
        &self,
        now: Millis,
        stream: &Fingerprint,
        count: usize,
    ) -> Vec<SocketAddr> {
        let routers = self.live(now).filter(|fact| fact.role == Role::Router);
        let routers: Map<&Host, SocketAddr> =
            routers.map(|fact| (&fact.host, fact.address)).collect();
        let hosts = routers.keys().copied();
        let keepers = assignment::origin_keepers(hosts, stream, count).into_iter();
        keepers
            .filter_map(|host| routers.get(host).copied())
            .collect()
    }

    /// Returns all known nodes with a role, this one included.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &NodeFact> {
        let others = self.nodes.values().map(|member| &member.fact);
        others
            .chain([&self.own])
            .filter(move |fact| fact.role == role)
    }

    /// Returns the gRPC addresses of the other known nodes with a role, live ones first.
    pub fn rpc_addresses(&self, now: Millis, role: Role) -> Vec<SocketAddr> {
        let of_role = self
            .nodes
            .values()
            .filter(|member| member.fact.role == role);
        let mut all: Vec<(bool, SocketAddr)> = of_role
            .map(|member| (!self.is_live(now, member), member.fact.rpc))
            .collect();
        all.sort();
        all.into_iter().map(|(_, rpc)| rpc).collect()
    }

    /// Returns a random live node with the highest plan version, or none if no version is above the
    /// own one. Nodes of the own data centre are preferred.
    ///
    /// With `role`, only nodes with that role count. Nodes whose RPC address is in `failed` count
    /// only if there is no other with a version above the own one.
    pub fn newest_plan_holder(
        &mut self,
        now: Millis,
        role: Option<Role>,
        failed: &[SocketAddr],
    ) -> Option<NodeFact> {
        let live = self.live(now);
        let newer = live
            .filter(|fact| fact.plan > self.own.plan && role.is_none_or(|role| fact.role == role));
        let (failed, usable): (Vec<NodeFact>, Vec<NodeFact>) =
            newer.cloned().partition(|fact| failed.contains(&fact.rpc));
        let mut holders = match usable.is_empty() {
            true => failed,
            false => usable,
        };
        let highest = holders.iter().map(|fact| fact.plan).max()?;
        holders.retain(|fact| fact.plan == highest);
        let is_local = |fact: &&NodeFact| fact.centre == self.own.centre;
        let local: Vec<&NodeFact> = holders.iter().filter(is_local).collect();
        match local.choose(&mut self.rng) {
            Some(fact) => Some((*fact).clone()),
            None => holders.choose(&mut self.rng).cloned(),
        }
    }
}

/// Splits facts into packets to one node, each at most [`MAX_PACKET_BYTES`] long. A fact that is larger
/// by itself is left out. Only the first packet carries `asks`. Facts that nodes of earlier versions
/// can't decode get packets of their own, as such a node drops the whole packet.
fn into_packets(
    to: SocketAddr,
    asks: bool,
    facts: Vec<Fact>,
) -> impl Iterator<Item = (SocketAddr, Packet)> {
    let (extensions, facts): (Vec<Fact>, Vec<Fact>) =
        facts.into_iter().partition(Fact::is_extension);
    let (late, extensions): (Vec<Fact>, Vec<Fact>) =
        extensions.into_iter().partition(Fact::is_late_extension);
    let groups = [split(facts), split(extensions), split(late)];
    let packets = groups.into_iter().flatten();
    packets.enumerate().map(move |(number, facts)| {
        let asks = asks && number == 0;
        (to, Packet { asks, facts })
    })
}

/// Splits facts into groups that each fit in a packet.
fn split(facts: Vec<Fact>) -> Vec<Vec<Fact>> {
    let most = MAX_PACKET_BYTES - PACKET_HEADER_BYTES;
    let mut groups: Vec<Vec<Fact>> = Vec::new();
    let mut room = 0;
    for fact in facts {
        // A fact of the core's own types can always be encoded.
        let size = serialize_with_flavor(&fact, Size::default()).unwrap_or(usize::MAX);
        if size > most {
            continue;
        }
        match groups.last_mut() {
            Some(group) if size <= room && group.len() < MAX_PACKET_FACTS => group.push(fact),
            _ => {
                groups.push(vec![fact]);
                room = most;
            }
        }
        room -= size;
    }
    groups
}
