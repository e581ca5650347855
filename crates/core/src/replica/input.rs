//! Inputs and outputs of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::log::Entry;
use super::log::Position;
use super::log::Snapshot;
use super::members::Members;
use super::message::Message;
use crate::id::DataCentre;
use crate::id::ReplicaId;
use crate::unit::Index;
use crate::unit::Term;

/// An event that a node processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message arrived.
    Receive {
        /// Replica that sent it.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Commands to append to the log, in order. Ignored unless the node is the leader.
    Propose(Vec<Arc<[u8]>>),
    /// A linearizable read, under a number that the caller chooses. It ends in
    /// [`Output::ReadConfirmed`] or [`Output::ReadDropped`].
    Read(u64),
    /// All [`Save`]s up to the one that contains this log entry are durable.
    Synced(Position),
    /// A follower has not heard from a leader for the minimum election timeout, so it may grant
    /// pre-votes.
    LeaderTimeout,
    /// The randomized election timeout has expired: start an election.
    Campaign(Campaign),
    /// The leader's heartbeat interval has expired.
    Heartbeat,
    /// An election timeout has passed since the leader last checked that a quorum responds to it.
    CheckQuorum,
    /// A snapshot of the state machine, with which the log is compacted.
    Compact {
        /// Last entry applied to the state.
        index: Index,
        /// Encoded state.
        data: Arc<[u8]>,
        /// Number of entries up to `index` to keep, for followers that lag slightly.
        keep: u64,
    },
    /// A replica outside the group asks to join. Ignored unless the node is the leader.
    Join {
        /// Identity of the replica.
        id: ReplicaId,
        /// Address that it serves on.
        address: SocketAddr,
        /// Whether it belongs to the first start of the system. One that does not replaces an
        /// older member once it has caught up.
        founds: bool,
    },
    /// The data centres of replicas, by address, as far as they are known.
    Centres(Arc<BTreeMap<SocketAddr, DataCentre>>),
    /// Creates a group with these members. Ignored unless the node is blank and one of the voters.
    Bootstrap(Members),
    /// The leader is about to stop: it asks another voter to take over, preferably one that holds
    /// its whole log and responded recently. Ignored unless the node is the leader.
    TransferLeadership,
}

/// Phase of an election.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Campaign {
    /// The candidate asks whether it could win, without incrementing its term.
    PreVote,
    /// The candidate increments its term and asks for votes.
    Election,
}

/// An action that a node requests from its caller. Outputs are executed in order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Output {
    /// Write this to disk. Several writes may share one sync.
    Save(Save),
    /// Send a message.
    Send {
        /// Replica that receives it.
        to: ReplicaId,
        /// The message.
        message: Message,
        /// Whether every earlier [`Save`] has to be durable before the message is sent.
        after_sync: bool,
    },
    /// Entries up to this one are committed and may be applied.
    Commit(Index),
    /// Replace the state of the state machine with this snapshot.
    Restore(Arc<Snapshot>),
    /// The read may be answered once the entry at `index` is applied.
    ReadConfirmed {
        /// Number of the read, as in [`Input::Read`].
        read: u64,
        /// Entry that has to be applied first.
        index: Index,
    },
    /// The read cannot be confirmed: the node is not the leader, lost leadership before a quorum
    /// responded, or has too many pending reads.
    ReadDropped {
        /// Number of the read, as in [`Input::Read`].
        read: u64,
    },
    /// Restart the election timer.
    ResetTimer,
    /// The leader has appended a membership change. Nothing to execute; tells logs and metrics.
    Changed(MemberChange),
}

/// A membership change that a leader appends to the log, with the reason.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemberChange {
    /// A replica asked to join and becomes a learner.
    Joined(ReplicaId),
    /// A learner that has caught up becomes a voter.
    Promoted(ReplicaId),
    /// A voter is removed, since a newer voter has its address: its disk was lost.
    Superseded(ReplicaId),
    /// A voter becomes a learner, since the target number is met without it. It is unresponsive, or else
    /// there is one voter too many.
    Replaced(ReplicaId),
    /// A voter becomes a learner, since its successor votes.
    Succeeded {
        /// The voter.
        voter: ReplicaId,
        /// Its successor.
        successor: ReplicaId,
    },
    /// A learner is removed, since it has been unresponsive for long.
    Removed(ReplicaId),
}

impl MemberChange {
    /// Returns the member that changes.
    pub fn member(self) -> ReplicaId {
        match self {
            Self::Joined(id)
            | Self::Promoted(id)
            | Self::Superseded(id)
            | Self::Replaced(id)
            | Self::Removed(id) => id,
            Self::Succeeded { voter, .. } => voter,
        }
    }

    /// Returns the word for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Joined(_) => "joined",
            Self::Promoted(_) => "promoted",
            Self::Superseded(_) => "superseded",
            Self::Replaced(_) => "replaced",
            Self::Succeeded { .. } => "succeeded",
            Self::Removed(_) => "removed",
        }
    }
}

/// A disk write.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Save {
    /// The current term and vote.
    Vote {
        /// Current term.
        term: Term,
        /// Candidate that received this node's vote in the term.
        vote: Option<ReplicaId>,
    },
    /// Entries to append. They replace all entries on disk from the index of the first one on.
    Entries(Vec<Entry>),
    /// A snapshot of this node's own state. Entries up to it may be deleted from disk.
    Compact(Arc<Snapshot>),
    /// A snapshot that replaces the whole log, either received from the leader or the initial one
    /// of a new group. Entries after it that stay valid are saved again, following it.
    Install(Arc<Snapshot>),
}
