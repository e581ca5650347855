//! A small world of real nodes: hosts with disks, a network that keeps every message, and the
//! history that the invariants speak of.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Campaign;
use chestnutnotch_core::replica::DurableState;
use chestnutnotch_core::replica::Entry;
use chestnutnotch_core::replica::Input;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Mutations;
use chestnutnotch_core::replica::Node;
use chestnutnotch_core::replica::Output;
use chestnutnotch_core::replica::Payload;
use chestnutnotch_core::replica::Position;
use chestnutnotch_core::replica::Save;
use chestnutnotch_core::replica::Snapshot;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;

/// What an invariant found broken.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Flaw {
    /// Two replicas committed different entries at one index.
    Diverged,
    /// Two replicas led in one term.
    TwoLeaders,
    /// A leader lacks a committed entry.
    Incomplete,
    /// A confirmed read misses an entry that was committed when it was asked.
    StaleRead,
    /// A promoted replica lacks an entry that the promoting leader knew to be committed.
    EarlyPromotion,
    /// A snapshot is not what was committed up to its position.
    WrongSnapshot,
}

/// One replica with its disk.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Host {
    pub node: Node,
    pub disk: DurableState,
    /// Writes that are not yet durable, and what waits for them.
    pub pending: Vec<Output>,
}

/// A message on its way. It may arrive at any time; a search that never delivers it covers its loss.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Packet {
    pub to: ReplicaId,
    pub from: ReplicaId,
    pub message: Message,
}

/// A committed entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Chosen {
    pub entry: Entry,
    /// Term of the replica that committed it first. Leaders of later terms hold it.
    pub term: Term,
}

/// What has happened so far, for the invariants.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct History {
    pub chosen: BTreeMap<Index, Chosen>,
    pub leaders: BTreeMap<Term, ReplicaId>,
    /// Highest committed index when each read was asked.
    pub asked: BTreeMap<u64, Index>,
    /// Reads that were answered.
    pub answered: BTreeSet<u64>,
    pub flaw: Option<Flaw>,
}

/// What the environment may still do.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Budget {
    /// Elections, for each replica.
    pub campaigns: BTreeMap<ReplicaId, u8>,
    /// Elections start with a pre-vote.
    pub asking: bool,
    /// Crashes, which lose what is not synced.
    pub crashes: u8,
    /// Disks lost; the new disk gets this identity.
    pub losses: BTreeMap<ReplicaId, ReplicaId>,
    /// Commands proposed.
    pub proposals: u8,
    /// Reads asked.
    pub reads: u8,
    /// Snapshots taken.
    pub compactions: u8,
    /// Greetings of new replicas to each leader.
    pub greetings: BTreeMap<ReplicaId, u16>,
    /// Links that carry nothing.
    pub cuts: BTreeSet<(u64, u64)>,
    /// Writes become durable in a step of their own.
    pub lazy: bool,
}

/// The world.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub hosts: BTreeMap<ReplicaId, Arc<Host>>,
    pub net: Arc<BTreeSet<Packet>>,
    pub history: Arc<History>,
    pub budget: Budget,
    pub mutations: Mutations,
}

/// Address of a slot.
pub fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], slot))
}

impl World {
    /// Voters 0 to `count`, whose logs begin behind a shared first entry.
    pub fn new(count: u64, mutations: Mutations, budget: Budget) -> Self {
        let ids = (0..count).map(|id| (ReplicaId(id), address(id as u16)));
        Self::with_members(Members::initial(ids), mutations, budget)
    }

    /// Members whose logs begin behind a shared first entry.
    pub fn with_members(members: Members, mutations: Mutations, budget: Budget) -> Self {
        let ids: Vec<ReplicaId> = members.0.keys().copied().collect();
        let snapshot = Snapshot {
            at: Position {
                term: Term(0),
                index: Index(1),
            },
            members,
            data: snapshot_data(Index(1)),
        };
        let first = Entry {
            at: snapshot.at,
            payload: Payload::Blank,
        };
        let chosen = Chosen {
            entry: first,
            term: Term(0),
        };
        let history = History {
            chosen: BTreeMap::from([(Index(1), chosen)]),
            ..History::default()
        };
        let durable = DurableState {
            snapshot: Arc::new(snapshot),
            ..DurableState::default()
        };
        let host = |id| Host {
            node: Node::with_mutations(id, durable.clone(), mutations),
            disk: durable.clone(),
            pending: Vec::new(),
        };
        Self {
            hosts: ids.into_iter().map(|id| (id, Arc::new(host(id)))).collect(),
            net: Arc::default(),
            history: Arc::new(history),
            budget,
            mutations,
        }
    }

    /// Adds a replica with an empty disk.
    pub fn add_blank(&mut self, id: ReplicaId) {
        let host = Host {
            node: Node::with_mutations(id, DurableState::default(), self.mutations),
            disk: DurableState::default(),
            pending: Vec::new(),
        };
        self.hosts.insert(id, Arc::new(host));
    }

    /// One input to one node, with its effects.
    pub fn step(&mut self, id: ReplicaId, input: Input) {
        let Some(slot) = self.hosts.get_mut(&id) else {
            return;
        };
        let mut host = Host::clone(slot);
        let before = host.node.members().clone();
        let led = host.node.leads();
        let mut outputs = Vec::new();
        host.node.step(input, &mut outputs);
        let mut sent = Vec::new();
        let mut commits = Vec::new();
        for output in outputs {
            match output {
                Output::Save(_) => host.pending.push(output),
                Output::Send {
                    after_sync: true, ..
                } if !host.pending.is_empty() => {
                    host.pending.push(output);
                }
                Output::Send { to, message, .. } => sent.push((to, message)),
                Output::Commit(_) | Output::Restore(_) | Output::ReadConfirmed { .. } => {
                    commits.push(output);
                }
                Output::ReadDropped { .. } | Output::ResetTimer => {}
            }
        }
        let lead_began = !led && host.node.leads();
        *slot = Arc::new(host);
        self.send(id, sent);
        self.judge(id, lead_began, &before, commits);
        if !self.budget.lazy {
            self.sync(id);
        }
    }

    /// Makes a host's writes durable and sends what waited for them.
    pub fn sync(&mut self, id: ReplicaId) {
        let Some(slot) = self.hosts.get_mut(&id) else {
            return;
        };
        if slot.pending.is_empty() {
            return;
        }
        let mut host = Host::clone(slot);
        let mut sent = Vec::new();
        let mut last = None;
        for output in std::mem::take(&mut host.pending) {
            match output {
                Output::Save(save) => last = persist(&mut host.disk, save).or(last),
                Output::Send { to, message, .. } => sent.push((to, message)),
                _ => {}
            }
        }
        *slot = Arc::new(host);
        self.send(id, sent);
        if let Some(at) = last {
            self.step(id, Input::Synced(at));
        }
    }

    /// A crash loses what is not synced.
    pub fn crash(&mut self, id: ReplicaId) {
        let Some(slot) = self.hosts.get_mut(&id) else {
            return;
        };
        let disk = slot.disk.clone();
        *slot = Arc::new(Host {
            node: Node::with_mutations(id, disk.clone(), self.mutations),
            disk,
            pending: Vec::new(),
        });
    }

    /// Hands a packet to its receiver. It is gone from the network then.
    pub fn deliver(&mut self, packet: &Packet) {
        Arc::make_mut(&mut self.net).remove(packet);
        let message = packet.message.clone();
        let from = packet.from;
        self.step(packet.to, Input::Receive { from, message });
    }

    /// Delivers all packets between some replicas until nothing changes.
    pub fn run_among(&mut self, ids: &[u64]) {
        let known = |id: ReplicaId| ids.contains(&id.0);
        loop {
            let before = self.clone();
            for packet in before.net.iter().filter(|p| known(p.from) && known(p.to)) {
                self.deliver(packet);
            }
            if *self == before {
                return;
            }
        }
    }

    /// Drops packets of terms that their receivers have left, and those to replicas that are gone.
    pub fn prune(&mut self) {
        let hosts = &self.hosts;
        let useful = |packet: &Packet| {
            let host = hosts.get(&packet.to);
            host.is_some_and(|host| packet.message.term() >= host.node.term())
        };
        if !self.net.iter().all(useful) {
            Arc::make_mut(&mut self.net).retain(useful);
        }
    }

    /// Forgets all packets.
    pub fn clear_net(&mut self) {
        self.net = Arc::default();
    }

    /// Clears what the network holds and elects a replica, for the start of a search.
    pub fn elect(&mut self, id: u64, among: &[u64]) {
        self.step(ReplicaId(id), Input::Campaign(Campaign::Election));
        self.run_among(among);
        self.clear_net();
    }

    fn send(&mut self, from: ReplicaId, sent: Vec<(ReplicaId, Message)>) {
        let mut net = Arc::clone(&self.net);
        for (to, message) in sent {
            if self.budget.cuts.contains(&(from.0, to.0)) {
                continue;
            }
            let packet = Packet { to, from, message };
            if !net.contains(&packet) {
                Arc::make_mut(&mut net).insert(packet);
            }
        }
        self.net = net;
    }

    fn judge(&mut self, id: ReplicaId, began: bool, before: &Members, commits: Vec<Output>) {
        let host = Arc::clone(&self.hosts[&id]);
        let mut history = History::clone(&self.history);
        if began {
            judge_leader(&mut history, &host.node);
        }
        for output in commits {
            match output {
                Output::Commit(index) => judge_commit(&mut history, &host.node, index),
                Output::Restore(snapshot) => judge_snapshot(&mut history, &snapshot),
                Output::ReadConfirmed { read, index } => {
                    history.answered.insert(read);
                    if history.asked.get(&read).is_some_and(|asked| index < *asked) {
                        history.flaw = Some(Flaw::StaleRead);
                    }
                }
                _ => {}
            }
        }
        if host.node.leads() {
            let promoted: Vec<_> = host
                .node
                .members()
                .voters()
                .filter(|voter| before.0.get(voter).is_some_and(|member| !member.voter))
                .collect();
            for voter in promoted {
                let disk = self.hosts.get(&voter).map(|host| &host.disk);
                if disk.is_none_or(|disk| durable_until(disk) < host.node.committed()) {
                    history.flaw = Some(Flaw::EarlyPromotion);
                }
            }
        }
        if history != *self.history {
            self.history = Arc::new(history);
        }
    }
}

fn judge_leader(history: &mut History, node: &Node) {
    let leader = *history.leaders.entry(node.term()).or_insert(node.id());
    if leader != node.id() {
        history.flaw = Some(Flaw::TwoLeaders);
    }
    let lacks = |chosen: &Chosen| {
        let kept = chosen.entry.at.index > node.log().base().index;
        kept && chosen.term < node.term() && !node.log().contains(chosen.entry.at)
    };
    if history.chosen.values().any(lacks) {
        history.flaw = Some(Flaw::Incomplete);
    }
}

fn judge_commit(history: &mut History, node: &Node, index: Index) {
    let mut at = node.log().base().index.next();
    while at <= index {
        if let Some(entry) = node.log().get(at) {
            let chosen = history.chosen.entry(at).or_insert_with(|| Chosen {
                entry: entry.clone(),
                term: node.term(),
            });
            if chosen.entry != *entry {
                history.flaw = Some(Flaw::Diverged);
            }
        }
        at = at.next();
    }
}

fn judge_snapshot(history: &mut History, snapshot: &Snapshot) {
    let chosen = history.chosen.get(&snapshot.at.index);
    let right = chosen.is_some_and(|chosen| chosen.entry.at == snapshot.at)
        && *snapshot.data == *snapshot_data(snapshot.at.index);
    if !right {
        history.flaw = Some(Flaw::WrongSnapshot);
    }
}

/// Stands for the machine's state after an entry.
pub fn snapshot_data(index: Index) -> Arc<[u8]> {
    Arc::from(index.0.to_le_bytes())
}

/// Last entry that a disk holds.
pub fn durable_until(disk: &DurableState) -> Index {
    let last = disk.entries.last().map(|entry| entry.at.index);
    last.unwrap_or(disk.snapshot.at.index)
}

fn persist(disk: &mut DurableState, save: Save) -> Option<Position> {
    match save {
        Save::Vote { term, vote } => {
            disk.term = term;
            disk.vote = vote;
            None
        }
        Save::Entries(entries) => {
            let first = entries.first()?.at.index;
            disk.entries.retain(|entry| entry.at.index < first);
            disk.entries.extend(entries);
            disk.entries.last().map(|entry| entry.at)
        }
        Save::Compact(snapshot) => {
            disk.entries
                .retain(|entry| entry.at.index > snapshot.at.index);
            disk.snapshot = snapshot;
            None
        }
        Save::Install(snapshot) => {
            disk.entries.clear();
            let at = snapshot.at;
            disk.snapshot = snapshot;
            Some(at)
        }
    }
}
