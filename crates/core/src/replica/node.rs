//! The protocol's state machine, without timers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use super::input::Campaign;
use super::input::Input;
use super::input::Output;
use super::input::Save;
use super::log::Entry;
use super::log::Log;
use super::log::Position;
use super::log::Snapshot;
use super::members::Members;
use super::message::Message;
use super::mutations::Mutations;
use super::peer::Peer;
use super::transfer::IncomingSnapshot;
use crate::id::DataCentre;
use crate::id::ReplicaId;
use crate::unit::Index;
use crate::unit::Term;

/// Maximum number of reads that await confirmation. Further reads are dropped.
const MAX_PENDING_READS: usize = 16_384;

/// State that a replica loads from disk when it starts.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct DurableState {
    /// Current term.
    pub term: Term,
    /// Candidate that received the replica's vote in this term.
    pub vote: Option<ReplicaId>,
    /// The latest snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Log entries, in order. Those that the snapshot contains are ignored.
    pub entries: Vec<Entry>,
}

/// State of the protocol on one replica.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Node {
    /// Identity of this replica.
    pub(super) id: ReplicaId,
    /// Protocol violations turned on by a test.
    pub(super) mutations: Mutations,
    /// Current term.
    pub(super) term: Term,
    /// Candidate that received this node's vote in the current term.
    pub(super) vote: Option<ReplicaId>,
    /// Snapshot and log entries, including those that are not durable yet.
    pub(super) log: Log,
    /// Highest index known to be committed.
    pub(super) commit: Index,
    /// Highest index known to be durable on this node's disk.
    pub(super) synced: Index,
    /// Role in the current term, with the state that belongs to it.
    pub(super) role: Role,
    /// Leader of the current term, if known.
    pub(super) leader: Option<ReplicaId>,
    /// Whether a leader was heard from within the last minimum election timeout.
    pub(super) heard_leader: bool,
    /// Number of voters to maintain. If unset, every learner is promoted and no voter is retired.
    pub(super) target_voters: Option<usize>,
    /// Data centres of replicas, by address, as far as they are known.
    pub(super) centres: Arc<BTreeMap<SocketAddr, DataCentre>>,
}

/// Role of a node in the current term.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum Role {
    /// Follows a leader or waits for one. Holds the snapshot that it is receiving, if any.
    Follower(Option<IncomingSnapshot>),
    /// Runs for leader. Holds the phase of the election and the replicas that granted their vote in
    /// it.
    Candidate(Campaign, BTreeSet<ReplicaId>),
    /// Leads the current term.
    Leader(Leader),
}

/// State that a node has only while it leads.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Leader {
    /// Replication progress of the other members.
    pub peers: BTreeMap<ReplicaId, Peer>,
    /// Index of the first entry of the current term.
    pub first_index: Index,
    /// Number of the current heartbeat round.
    pub round: u64,
    /// Reads that await confirmation by a quorum.
    pub reads: Vec<PendingRead>,
}

/// A read that awaits confirmation by a quorum.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct PendingRead {
    /// Number of the read, chosen by the caller.
    pub read: u64,
    /// Entry that has to be applied before the read is answered.
    pub index: Index,
    /// Heartbeat round that confirms the read once a quorum has responded to it. It starts after
    /// the read arrived.
    pub round: u64,
}

impl Node {
    /// Creates a node from the state on its disk.
    pub fn new(id: ReplicaId, durable: DurableState) -> Self {
        Self::with_mutations(id, durable, Mutations::default())
    }

    /// Creates a node that violates some rules of the protocol, for tests.
    #[doc(hidden)]
    pub fn with_mutations(id: ReplicaId, durable: DurableState, mutations: Mutations) -> Self {
        let commit = durable.snapshot.at.index;
        let log = Log::new(durable.snapshot, durable.entries);
        Self {
            id,
            mutations,
            term: durable.term,
            vote: durable.vote,
            commit,
            synced: log.last().index,
            log,
            role: Role::Follower(None),
            leader: None,
            heard_leader: false,
            target_voters: None,
            centres: Arc::default(),
        }
    }

    /// Processes one input and adds the resulting actions to `out`.
    pub fn step(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Receive { from, message } => self.receive(from, message, out),
            Input::Propose(commands) => self.propose(commands, out),
            Input::Read(read) => self.read(read, out),
            Input::Synced(at) => self.on_synced(at, out),
            Input::LeaderTimeout => self.heard_leader = false,
            Input::Campaign(campaign) => self.campaign(campaign, out),
            Input::Heartbeat => self.start_round(out),
            Input::CheckQuorum => self.check_quorum(out),
            Input::Compact { index, data, keep } => self.compact(index, data, keep, out),
            Input::Join {
                id,
                address,
                founds,
            } => self.add_learner(id, address, founds, out),
            Input::Centres(centres) => self.centres = centres,
            Input::Bootstrap(members) => self.bootstrap(members, out),
            Input::TransferLeadership => self.transfer_leadership(out),
        }
    }

    /// Sets the number of voters to maintain: learners replace unresponsive voters, and
    /// successors their predecessors. If `None`, every learner is promoted and no voter is retired.
    pub fn with_target_voters(mut self, target_voters: Option<usize>) -> Self {
        self.target_voters = target_voters;
        self
    }

    /// Whether the node leads, or heard from a leader within the last minimum election timeout.
    pub fn hears_leader(&self) -> bool {
        self.heard_leader || self.leads()
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the candidate that received this node's vote in the current term.
    pub fn vote(&self) -> Option<ReplicaId> {
        self.vote
    }

    /// Whether the node is the leader of the current term.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the highest index known to be committed.
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// Returns the highest index known to be durable on this node's disk.
    pub fn synced(&self) -> Index {
        self.synced
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership as of the last log entry, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the members that a leader replicates to, with the last entry known to be durable on each.
    /// Nothing on a node that does not lead.
    pub fn progress(&self) -> Vec<(ReplicaId, Index)> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let peers = leader.peers.iter();
        peers.map(|(id, peer)| (*id, peer.matched)).collect()
    }

    /// Whether the node belongs to no group yet: it has no log entries and knows no members.
    pub fn is_blank(&self) -> bool {
        self.log.last().index == Index::ZERO && self.members().0.is_empty()
    }

    /// Whether the node has to ask to join a group: it has no vote and, as a learner, hears from no
    /// leader. It may have log entries: a snapshot can be older than the entry that added the node,
    /// and that entry can be lost with the leader that appended it.
    pub fn must_join(&self) -> bool {
        let members = self.members();
        let follows = self.heard_leader && members.0.contains_key(&self.id);
        !(follows || members.is_voter(self.id))
    }

    /// Returns the data centre of a member, if it is known.
    pub(super) fn centre_of(&self, id: ReplicaId) -> Option<&DataCentre> {
        let member = self.members().0.get(&id)?;
        self.centres.get(&member.address)
    }

    /// Handles a message, after comparing its term with the current one.
    fn receive(&mut self, from: ReplicaId, message: Message, out: &mut Vec<Output>) {
        match &message {
            Message::PreVote(ballot) => return self.on_pre_vote(from, *ballot, out),
            Message::PreVoted {
                ballot,
                granted: true,
                ..
            } => {
                return self.on_pre_voted(from, *ballot, out);
            }
            _ => {}
        }
        let term = message.term();
        if term < self.term {
            return self.reject_stale(from, &message, out);
        }
        if term > self.term {
            self.become_follower(term, out);
        }
        match message {
            Message::Vote(ballot) => self.on_vote(from, ballot, out),
            Message::Voted { granted, .. } => self.on_voted(from, granted, out),
            Message::Append(append) => self.on_append(from, append, out),
            Message::Appended(appended) => self.on_appended(from, appended, out),
            Message::Chunk(chunk) => self.on_chunk(from, chunk, out),
            Message::Chunked {
                round, at, offset, ..
            } => {
                self.on_chunked(from, round, at, offset, out);
            }
            Message::Stand { .. } => self.on_stand(from, out),
            Message::PreVote(_) | Message::PreVoted { .. } => {}
        }
    }

    /// Becomes a follower in a term, and drops the state of the former role, such as pending reads.
    pub(super) fn become_follower(&mut self, term: Term, out: &mut Vec<Output>) {
        if let Role::Leader(leader) = &mut self.role {
            let reads = std::mem::take(&mut leader.reads);
            out.extend(
                reads
                    .iter()
                    .map(|pending| Output::ReadDropped { read: pending.read }),
            );
        }
        self.role = Role::Follower(None);
        self.leader = None;
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.save_vote(out);
        }
    }

    /// Follows the leader that sent a message of the current term, and restarts the election timer.
    pub(super) fn accept_leader(&mut self, from: ReplicaId, out: &mut Vec<Output>) {
        if !matches!(self.role, Role::Follower(_)) || self.leader != Some(from) {
            self.become_follower(self.term, out);
        }
        self.leader = Some(from);
        self.heard_leader = true;
        out.push(Output::ResetTimer);
    }

    /// Saves the current term and vote.
    pub(super) fn save_vote(&self, out: &mut Vec<Output>) {
        out.push(Output::Save(Save::Vote {
            term: self.term,
            vote: self.vote,
        }));
    }

    /// Sends a message once all earlier saves are durable.
    pub(super) fn send_after_sync(&self, to: ReplicaId, message: Message, out: &mut Vec<Output>) {
        out.push(Output::Send {
            to,
            message,
            after_sync: !self.mutations.unsynced_acks,
        });
    }

    /// Appends commands to the log if the node leads.
    fn propose(&mut self, commands: Vec<Arc<[u8]>>, out: &mut Vec<Output>) {
        use super::log::Payload;
        if self.leads() && !commands.is_empty() {
            let payloads = commands.into_iter().map(Payload::Command);
            self.append_payloads(payloads.collect(), out);
        }
    }

    /// Registers a read and starts a heartbeat round for it, unless earlier reads still await the
    /// current round. In that case the next round starts once the current one is confirmed.
    fn read(&mut self, read: u64, out: &mut Vec<Output>) {
        let commit = self.commit;
        let unconfirmed = self.mutations.unconfirmed_reads;
        let Role::Leader(leader) = &mut self.role else {
            out.push(Output::ReadDropped { read });
            return;
        };
        if unconfirmed {
            out.push(Output::ReadConfirmed {
                read,
                index: commit,
            });
            return;
        }
        if leader.reads.len() >= MAX_PENDING_READS {
            out.push(Output::ReadDropped { read });
            return;
        }
        let in_progress = leader
            .reads
            .iter()
            .any(|pending| pending.round <= leader.round);
        leader.reads.push(PendingRead {
            read,
            index: commit.max(leader.first_index),
            round: leader.round + 1,
        });
        if !in_progress {
            self.start_round(out);
        }
    }

    /// Confirms the reads whose round a quorum has responded to, and starts a round for the reads
    /// that arrived after the current one began.
    pub(super) fn confirm_reads(&mut self, out: &mut Vec<Output>) {
        let id = self.id;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.reads.is_empty() {
            return;
        }
        let members = self.log.members();
        let round = |member| match leader.peers.get(&member) {
            Some(peer) => Index(peer.acked_round),
            None if member == id => Index(leader.round),
            None => Index::ZERO,
        };
        let confirmed = members.quorum_index(round).0;
        let (done, waiting): (Vec<_>, Vec<_>) = leader
            .reads
            .iter()
            .partition(|pending| pending.round <= confirmed);
        leader.reads = waiting;
        let unstarted = leader
            .reads
            .iter()
            .all(|pending| pending.round > leader.round);
        let restart = unstarted && !leader.reads.is_empty();
        out.extend(done.into_iter().map(|pending| Output::ReadConfirmed {
            read: pending.read,
            index: pending.index,
        }));
        if restart {
            self.start_round(out);
        }
    }

    /// Records that the log is durable up to a position.
    fn on_synced(&mut self, at: Position, out: &mut Vec<Output>) {
        if self.log.contains(at) {
            self.synced = self.synced.max(at.index);
        }
        self.advance_commit(out);
    }

    /// Creates a group, whose initial snapshot contains only its members.
    fn bootstrap(&mut self, members: Members, out: &mut Vec<Output>) {
        if !self.is_blank() || !members.is_voter(self.id) {
            return;
        }
        let snapshot = Arc::new(Snapshot {
            members,
            ..Snapshot::default()
        });
        self.log = Log::new(Arc::clone(&snapshot), Vec::new());
        out.push(Output::Save(Save::Install(snapshot)));
    }
}
