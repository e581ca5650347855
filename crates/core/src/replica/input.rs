//! What a node is told, and what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use super::log::Entry;
use super::log::Position;
use super::log::Snapshot;
use super::members::Members;
use super::message::Message;
use crate::id::ReplicaId;
use crate::unit::Index;
use crate::unit::Term;

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message arrived.
    Receive {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Commands to agree on, in order. Ignored unless the node leads.
    Propose(Vec<Arc<[u8]>>),
    /// A read with a number of the caller's choice waits for a quorum's confirmation.
    Read(u64),
    /// All [`Save`]s up to this last log entry are durable.
    Synced(Position),
    /// No leader was heard for an election timeout.
    LeaderTimeout,
    /// The election timer ran out, or the leader asks to stand.
    Campaign(Campaign),
    /// The leader's heartbeat timer ran out.
    Heartbeat,
    /// An election timeout has passed since the leader last counted who answers it.
    CheckQuorum,
    /// The machine's state after a committed entry, encoded.
    Compact {
        /// The last entry applied to it.
        index: Index,
        /// The encoded machine.
        data: Arc<[u8]>,
        /// Entries before it to keep for followers that are a little behind.
        keep: u64,
    },
    /// A replica outside the group greets from this address and would join.
    Join {
        /// Its identity.
        id: ReplicaId,
        /// Its address.
        address: SocketAddr,
    },
    /// Start a new group with these members. Ignored unless the node is blank.
    Bootstrap(Members),
    /// A leader that stops hands its office to a voter that holds its whole log.
    TransferLeadership,
}

/// How a candidate starts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Campaign {
    /// Asks first whether it could win.
    PreVote,
    /// Raises its term at once.
    Election,
}

/// What a node asks for. Outputs are carried out in order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Output {
    /// Make this durable; several may share one sync.
    Save(Save),
    /// Send a message.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
        /// Whether every [`Save`] before it has to be durable first.
        after_sync: bool,
    },
    /// Entries up to this one are committed and may be applied.
    Commit(Index),
    /// The machine starts again from this snapshot.
    Restore(Arc<Snapshot>),
    /// The read may be answered once this entry is applied.
    ReadConfirmed {
        /// Number of the read.
        read: u64,
        /// The entry.
        index: Index,
    },
    /// The read cannot be confirmed: the node does not lead, or no longer.
    ReadDropped {
        /// Number of the read.
        read: u64,
    },
    /// The election timer starts again.
    ResetTimer,
}

/// A write to disk.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Save {
    /// The term and the vote in it.
    Vote {
        /// Current term.
        term: Term,
        /// Who got the vote in it.
        vote: Option<ReplicaId>,
    },
    /// Entries. Entries on disk from the first one's index on are void.
    Entries(Vec<Entry>),
    /// A snapshot of the own state; entries up to it are no longer needed.
    Compact(Arc<Snapshot>),
    /// A snapshot that replaces the log; entries that continue it are saved again behind it.
    Install(Arc<Snapshot>),
}
