//! The protocol without time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use crate::id::ReplicaId;
use crate::unit::Index;
use crate::unit::Term;

/// Most reads that wait for confirmation at one time.
const MAX_PENDING_READS: usize = 16_384;

/// What a replica's disk holds.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct DurableState {
    /// Current term.
    pub term: Term,
    /// Who got the vote in it.
    pub vote: Option<ReplicaId>,
    /// The newest snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Entries, in order; those that the snapshot contains are ignored.
    pub entries: Vec<Entry>,
}

/// One replica's side of the protocol.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Node {
    pub(super) id: ReplicaId,
    pub(super) mutations: Mutations,
    pub(super) term: Term,
    pub(super) vote: Option<ReplicaId>,
    pub(super) log: Log,
    pub(super) commit: Index,
    pub(super) synced: Index,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    pub(super) heard_leader: bool,
    /// Number of voters to keep by replacing silent ones; without it, every learner is promoted and
    /// no voter is removed for silence.
    pub(super) target_voters: Option<usize>,
}

/// What a replica is doing.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower(Option<IncomingSnapshot>),
    /// Stands for election; holds who agreed.
    Candidate(Campaign, BTreeSet<ReplicaId>),
    /// Leads.
    Leader(Leader),
}

/// A leader's own state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Leader {
    /// The other members.
    pub peers: BTreeMap<ReplicaId, Peer>,
    /// First entry of the own term.
    pub first_index: Index,
    /// Number of the last round of messages.
    pub round: u64,
    /// Reads that wait for a round to be answered by a quorum.
    pub reads: Vec<PendingRead>,
}

/// A read that waits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct PendingRead {
    /// Number of the read.
    pub read: u64,
    /// What has to be applied before it is answered.
    pub index: Index,
    /// Round whose answers confirm it.
    pub round: u64,
}

impl Node {
    /// A node that starts from what its disk holds.
    pub fn new(id: ReplicaId, durable: DurableState) -> Self {
        Self::with_mutations(id, durable, Mutations::default())
    }

    /// A node with a broken rule, for tests.
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
        }
    }

    /// Advances the protocol by one input.
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
            Input::Join { id, address } => self.add_learner(id, address, out),
            Input::Bootstrap(members) => self.bootstrap(members, out),
            Input::TransferLeadership => self.transfer_leadership(out),
        }
    }

    /// Keeps this number of voters: silent ones are replaced by learners.
    pub fn with_target_voters(mut self, target_voters: Option<usize>) -> Self {
        self.target_voters = target_voters;
        self
    }

    /// Whether a leader was heard within the last election timeout, or the node leads.
    pub fn hears_leader(&self) -> bool {
        self.heard_leader || self.leads()
    }

    /// Own identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Who got this node's vote in the current term.
    pub fn vote(&self) -> Option<ReplicaId> {
        self.vote
    }

    /// Whether the node leads in its term.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Leader of the current term, as far as known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Highest entry known to be committed.
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// Highest entry known to be durable here.
    pub fn synced(&self) -> Index {
        self.synced
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Members as of the last entry.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Whether the node knows of no group: it holds no entry and was given no members.
    pub fn is_blank(&self) -> bool {
        self.log.last().index == Index::ZERO && self.members().0.is_empty()
    }

    /// Whether the node has to ask to be taken into a group: it does not vote and hears no leader.
    /// It may hold state: a snapshot can be older than the entry that adds the node, and that entry
    /// can be lost with the leader that appended it.
    pub fn must_join(&self) -> bool {
        let members = self.members();
        let follows = self.heard_leader && members.0.contains_key(&self.id);
        !(follows || members.is_voter(self.id))
    }

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

    /// Adopts a term as a follower and drops what the former role held.
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

    /// Follows the leader that sent a message of the current term.
    pub(super) fn accept_leader(&mut self, from: ReplicaId, out: &mut Vec<Output>) {
        if !matches!(self.role, Role::Follower(_)) || self.leader != Some(from) {
            self.become_follower(self.term, out);
        }
        self.leader = Some(from);
        self.heard_leader = true;
        out.push(Output::ResetTimer);
    }

    pub(super) fn save_vote(&self, out: &mut Vec<Output>) {
        out.push(Output::Save(Save::Vote {
            term: self.term,
            vote: self.vote,
        }));
    }

    /// Sends once all earlier saves are durable.
    pub(super) fn send_after_sync(&self, to: ReplicaId, message: Message, out: &mut Vec<Output>) {
        out.push(Output::Send {
            to,
            message,
            after_sync: !self.mutations.unsynced_acks,
        });
    }

    fn propose(&mut self, commands: Vec<Arc<[u8]>>, out: &mut Vec<Output>) {
        use super::log::Payload;
        if self.leads() && !commands.is_empty() {
            let payloads = commands.into_iter().map(Payload::Command);
            self.append_payloads(payloads.collect(), out);
        }
    }

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

    /// Answers reads whose round a quorum has answered, and starts a round for those that arrived
    /// since.
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

    fn on_synced(&mut self, at: Position, out: &mut Vec<Output>) {
        if self.log.contains(at) {
            self.synced = self.synced.max(at.index);
        }
        self.advance_commit(out);
    }

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
