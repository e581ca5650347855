//! A simulated group of real nodes: hosts with disks, a network that keeps every message until it
//! is delivered, and the history against which the invariants are checked.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::id::DataCentre;
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

/// A violated invariant.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Violation {
    /// Two replicas committed different entries at one index.
    Diverged,
    /// Two replicas led in one term.
    TwoLeaders,
    /// A new leader lacks a committed entry.
    Incomplete,
    /// A read was confirmed at an index below an entry that was committed when the read began.
    StaleRead,
    /// A promoted replica's disk lacks an entry that the promoting leader knew to be committed.
    EarlyPromotion,
    /// A restored snapshot does not match the entries committed up to its position.
    WrongSnapshot,
    /// A leader has fewer voters than the target number, so that fewer of them may be lost.
    TooFewVoters,
}

/// A replica with its disk.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Host {
    pub node: Node,
    /// State that survives a crash.
    pub disk: DurableState,
    /// Writes that are not durable yet, and the messages that wait for them, in order.
    pub pending: Vec<Output>,
}

/// A message in flight. It may arrive at any time. Schedules that never deliver it cover its loss.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Packet {
    pub to: ReplicaId,
    pub from: ReplicaId,
    pub message: Message,
}

/// A committed entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CommittedEntry {
    pub entry: Entry,
    /// Current term of the replica that committed it first. Leaders of later terms must have it.
    pub term: Term,
}

/// Past events that the invariants refer to.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct History {
    /// Entries that any replica has committed.
    pub committed: BTreeMap<Index, CommittedEntry>,
    /// First leader seen in each term.
    pub leaders: BTreeMap<Term, ReplicaId>,
    /// Highest committed index when each read began. The read must be confirmed at this index or a
    /// later one.
    pub read_floors: BTreeMap<u64, Index>,
    /// Reads that were confirmed.
    pub answered_reads: BTreeSet<u64>,
    /// The latest violation found, if any.
    pub violation: Option<Violation>,
}

/// Events that may still occur, and how the environment behaves.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Bounds {
    /// Number of elections that each replica may start.
    pub campaigns: BTreeMap<ReplicaId, u8>,
    /// Whether elections start with a pre-vote.
    pub pre_votes: bool,
    /// Number of crashes, each of which loses the writes that are not durable.
    pub crashes: u8,
    /// Replicas that may lose their disk, with the identity of the replica that takes their place.
    pub disk_losses: BTreeMap<ReplicaId, ReplicaId>,
    /// Number of commands that may be proposed.
    pub proposals: u8,
    /// Number of reads that may be requested.
    pub reads: u8,
    /// Number of snapshots that may be taken.
    pub compactions: u8,
    /// Replicas that may ask a leader to join, with the slot whose address they give.
    pub joins: BTreeMap<ReplicaId, u16>,
    /// Links, as sender and receiver, on which all messages are lost.
    pub cut_links: BTreeSet<(u64, u64)>,
    /// Whether writes become durable in a separate step, rather than at once.
    pub delayed_sync: bool,
    /// Replicas that may be removed for good.
    pub removals: BTreeSet<ReplicaId>,
    /// Number of voters to maintain.
    pub target_voters: Option<usize>,
    /// Data centres of replicas by address.
    pub centres: Arc<BTreeMap<SocketAddr, DataCentre>>,
}

impl Bounds {
    /// Creates a node that starts from a disk.
    fn node(&self, id: ReplicaId, disk: DurableState, mutations: Mutations) -> Node {
        let node = Node::with_mutations(id, disk, mutations);
        let mut node = node.with_target_voters(self.target_voters);
        let centres = Arc::clone(&self.centres);
        node.step(Input::Centres(centres), &mut Vec::new());
        node
    }
}

/// State of the simulation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub hosts: BTreeMap<ReplicaId, Arc<Host>>,
    /// Messages in flight.
    pub packets: Arc<BTreeSet<Packet>>,
    pub history: Arc<History>,
    pub bounds: Bounds,
    pub mutations: Mutations,
}

/// Returns the address of a slot, that is, of a place in the group that successive replicas may
/// take.
pub fn address(slot: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], slot))
}

impl World {
    /// Creates a group of the voters 0 to `count` - 1, whose logs begin after a shared first entry.
    pub fn new(count: u64, mutations: Mutations, bounds: Bounds) -> Self {
        let ids = (0..count).map(|id| (ReplicaId(id), address(id as u16)));
        Self::with_members(Members::initial(ids), mutations, bounds)
    }

    /// Creates a group of these members, whose logs begin after a shared first entry.
    pub fn with_members(members: Members, mutations: Mutations, bounds: Bounds) -> Self {
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
        let committed = CommittedEntry {
            entry: first,
            term: Term(0),
        };
        let history = History {
            committed: BTreeMap::from([(Index(1), committed)]),
            ..History::default()
        };
        let durable = DurableState {
            snapshot: Arc::new(snapshot),
            ..DurableState::default()
        };
        let host = |id| Host {
            node: bounds.node(id, durable.clone(), mutations),
            disk: durable.clone(),
            pending: Vec::new(),
        };
        let hosts = ids.into_iter().map(|id| (id, Arc::new(host(id)))).collect();
        Self {
            hosts,
            packets: Arc::default(),
            history: Arc::new(history),
            bounds,
            mutations,
        }
    }

    /// Adds a replica with an empty disk.
    pub fn add_blank(&mut self, id: ReplicaId) {
        let host = Host {
            node: self
                .bounds
                .node(id, DurableState::default(), self.mutations),
            disk: DurableState::default(),
            pending: Vec::new(),
        };
        self.hosts.insert(id, Arc::new(host));
    }

    /// Processes one input on one node, executes the outputs and checks the invariants.
    pub fn step(&mut self, id: ReplicaId, input: Input) {
        let Some(slot) = self.hosts.get_mut(&id) else {
            return;
        };
        let mut host = Host::clone(slot);
        let old_members = host.node.members().clone();
        let led = host.node.leads();
        let mut outputs = Vec::new();
        host.node.step(input, &mut outputs);
        let mut sent = Vec::new();
        let mut to_check = Vec::new();
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
                    to_check.push(output);
                }
                Output::ReadDropped { .. } | Output::ResetTimer | Output::Changed(_) => {}
            }
        }
        let became_leader = !led && host.node.leads();
        *slot = Arc::new(host);
        self.send(id, sent);
        self.check_invariants(id, became_leader, &old_members, to_check);
        if !self.bounds.delayed_sync {
            self.sync(id);
        }
    }

    /// Makes a host's writes durable and sends the messages that waited for them.
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

    /// Restarts a host from its disk; writes that are not durable are lost.
    pub fn crash(&mut self, id: ReplicaId) {
        let Some(slot) = self.hosts.get_mut(&id) else {
            return;
        };
        let disk = slot.disk.clone();
        *slot = Arc::new(Host {
            node: self.bounds.node(id, disk.clone(), self.mutations),
            disk,
            pending: Vec::new(),
        });
    }

    /// Removes a packet from the network and processes it on its receiver.
    pub fn deliver(&mut self, packet: &Packet) {
        Arc::make_mut(&mut self.packets).remove(packet);
        let message = packet.message.clone();
        let from = packet.from;
        self.step(packet.to, Input::Receive { from, message });
    }

    /// Delivers all packets between the given replicas until nothing changes.
    pub fn deliver_among(&mut self, ids: &[u64]) {
        let included = |id: ReplicaId| ids.contains(&id.0);
        loop {
            let before = self.clone();
            for packet in before
                .packets
                .iter()
                .filter(|p| included(p.from) && included(p.to))
            {
                self.deliver(packet);
            }
            if *self == before {
                return;
            }
        }
    }

    /// Drops packets of terms older than their receiver's, and packets to removed replicas.
    pub fn prune(&mut self) {
        let hosts = &self.hosts;
        let deliverable = |packet: &Packet| {
            let host = hosts.get(&packet.to);
            host.is_some_and(|host| packet.message.term() >= host.node.term())
        };
        if !self.packets.iter().all(deliverable) {
            Arc::make_mut(&mut self.packets).retain(deliverable);
        }
    }

    /// Drops all packets.
    pub fn clear_packets(&mut self) {
        self.packets = Arc::default();
    }

    /// Elects a replica by the messages between the replicas `among`, then drops all other packets.
    /// Prepares the initial state of a search.
    pub fn elect(&mut self, id: u64, among: &[u64]) {
        self.step(ReplicaId(id), Input::Campaign(Campaign::Election));
        self.deliver_among(among);
        self.clear_packets();
    }

    /// Puts messages on the network, except those on cut links.
    fn send(&mut self, from: ReplicaId, sent: Vec<(ReplicaId, Message)>) {
        let mut packets = Arc::clone(&self.packets);
        for (to, message) in sent {
            if self.bounds.cut_links.contains(&(from.0, to.0)) {
                continue;
            }
            let packet = Packet { to, from, message };
            if !packets.contains(&packet) {
                Arc::make_mut(&mut packets).insert(packet);
            }
        }
        self.packets = packets;
    }

    /// Checks the invariants after a step of one node, whose outputs were `to_check`.
    fn check_invariants(
        &mut self,
        id: ReplicaId,
        became_leader: bool,
        old_members: &Members,
        to_check: Vec<Output>,
    ) {
        let host = Arc::clone(&self.hosts[&id]);
        let mut history = History::clone(&self.history);
        if became_leader {
            check_leader(&mut history, &host.node);
        }
        for output in to_check {
            match output {
                Output::Commit(index) => check_commit(&mut history, &host.node, index),
                Output::Restore(snapshot) => check_snapshot(&mut history, &snapshot),
                Output::ReadConfirmed { read, index } => {
                    history.answered_reads.insert(read);
                    if history
                        .read_floors
                        .get(&read)
                        .is_some_and(|floor| index < *floor)
                    {
                        history.violation = Some(Violation::StaleRead);
                    }
                }
                _ => {}
            }
        }
        if host.node.leads() {
            let voters = host.node.members().voters().count();
            if self
                .bounds
                .target_voters
                .is_some_and(|target| voters < target)
            {
                history.violation = Some(Violation::TooFewVoters);
            }
            let promoted: Vec<_> = host
                .node
                .members()
                .voters()
                .filter(|voter| old_members.0.get(voter).is_some_and(|member| !member.voter))
                .collect();
            for voter in promoted {
                let disk = self.hosts.get(&voter).map(|host| &host.disk);
                if disk.is_none_or(|disk| last_durable(disk) < host.node.committed()) {
                    history.violation = Some(Violation::EarlyPromotion);
                }
            }
        }
        if history != *self.history {
            self.history = Arc::new(history);
        }
    }
}

/// Checks that a new leader is the only one of its term and has all entries committed earlier.
fn check_leader(history: &mut History, node: &Node) {
    let leader = *history.leaders.entry(node.term()).or_insert(node.id());
    if leader != node.id() {
        history.violation = Some(Violation::TwoLeaders);
    }
    let is_missing = |committed: &CommittedEntry| {
        let kept = committed.entry.at.index > node.log().base().index;
        kept && committed.term < node.term() && !node.log().contains(committed.entry.at)
    };
    if history.committed.values().any(is_missing) {
        history.violation = Some(Violation::Incomplete);
    }
}

/// Checks that the entries up to a committed index are the same on all replicas.
fn check_commit(history: &mut History, node: &Node, index: Index) {
    let mut at = node.log().base().index.next();
    while at <= index {
        if let Some(entry) = node.log().get(at) {
            let committed = history
                .committed
                .entry(at)
                .or_insert_with(|| CommittedEntry {
                    entry: entry.clone(),
                    term: node.term(),
                });
            if committed.entry != *entry {
                history.violation = Some(Violation::Diverged);
            }
        }
        at = at.next();
    }
}

/// Checks that a restored snapshot matches the committed entries.
fn check_snapshot(history: &mut History, snapshot: &Snapshot) {
    let committed = history.committed.get(&snapshot.at.index);
    let correct = committed.is_some_and(|committed| committed.entry.at == snapshot.at)
        && *snapshot.data == *snapshot_data(snapshot.at.index);
    if !correct {
        history.violation = Some(Violation::WrongSnapshot);
    }
}

/// Returns the placeholder that a snapshot holds as the state after an entry.
pub fn snapshot_data(index: Index) -> Arc<[u8]> {
    Arc::from(index.0.to_le_bytes())
}

/// Returns the index of the last entry on a disk.
pub fn last_durable(disk: &DurableState) -> Index {
    let last = disk.entries.last().map(|entry| entry.at.index);
    last.unwrap_or(disk.snapshot.at.index)
}

/// Applies a write to a disk and returns the last entry that it makes durable, if any.
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
