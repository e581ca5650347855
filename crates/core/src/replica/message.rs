//! Messages between replicas. They are sent in postcard, which encodes variants and fields by their
//! position.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::log::Entry;
use super::log::Position;
use super::members::Members;
use crate::unit::Index;
use crate::unit::Term;

/// A message between replicas.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Message {
    /// Asks a voter whether it would vote for the sender, before the sender increments its term.
    PreVote(Ballot),
    /// Response to [`Message::PreVote`].
    PreVoted {
        /// Current term of the sender.
        term: Term,
        /// Term of the election that the pre-vote asked about.
        ballot: Term,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Asks a voter for its vote; RequestVote in Raft.
    Vote(Ballot),
    /// Response to [`Message::Vote`].
    Voted {
        /// Current term of the sender.
        term: Term,
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Entries from the leader, or a heartbeat if there are none; AppendEntries in Raft.
    Append(Append),
    /// Response to [`Message::Append`], and to the last chunk of a snapshot.
    Appended(Appended),
    /// Part of a snapshot from the leader; InstallSnapshot in Raft.
    Chunk(Chunk),
    /// Response to a [`Message::Chunk`] after which the snapshot is incomplete.
    Chunked {
        /// Current term of the sender.
        term: Term,
        /// Round of the chunk, echoed.
        round: u64,
        /// Last entry contained in the snapshot that the sender receives.
        at: Position,
        /// Number of bytes of the snapshot that the sender has received.
        offset: u64,
    },
    /// Leadership transfer: asks a voter to start an election at once; TimeoutNow in Raft.
    Stand {
        /// Term of the leader.
        term: Term,
    },
}

/// What a voter needs to know of a candidate to decide on its vote.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ballot {
    /// Term of the election.
    pub term: Term,
    /// Last log entry of the candidate.
    pub last: Position,
}

/// Content of [`Message::Append`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Append {
    /// Term of the leader.
    pub term: Term,
    /// The leader's current heartbeat round. Followers echo it, which shows that the leader was
    /// still the leader when the round began, and so confirms reads.
    pub round: u64,
    /// Position of the entry before `entries`. The follower's log has to contain it.
    pub prev: Position,
    /// Consecutive entries after `prev`; empty in a heartbeat.
    pub entries: Vec<Entry>,
    /// Highest index that the leader knows to be committed.
    pub commit: Index,
}

/// Content of [`Message::Appended`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Appended {
    /// Current term of the sender.
    pub term: Term,
    /// Round of the append or chunk, echoed; zero if the message came from an older term.
    pub round: u64,
    /// Whether the follower's log matched the leader's.
    pub outcome: AppendOutcome,
}

/// Result of the consistency check of an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum AppendOutcome {
    /// The follower's log equals the leader's, and is durable, up to this index.
    Matched(Index),
    /// The follower's log does not contain the entry before those sent.
    Conflict {
        /// Index of that entry.
        prev: Index,
        /// Highest entry of the follower that the leader's log may contain.
        hint: Position,
    },
}

/// Content of [`Message::Chunk`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Chunk {
    /// Term of the leader.
    pub term: Term,
    /// The leader's current heartbeat round, as in [`Append`].
    pub round: u64,
    /// Position of the last entry contained in the snapshot.
    pub at: Position,
    /// Membership as of that entry.
    pub members: Members,
    /// Size of the whole snapshot, in bytes.
    pub size: u64,
    /// Offset of `bytes` in the snapshot.
    pub offset: u64,
    /// Data of this chunk.
    pub bytes: Arc<[u8]>,
}

impl Append {
    /// Returns a heartbeat that makes sense in any order with other messages of the leader: every log
    /// contains the position before the first entry.
    pub(super) fn unordered(term: Term, round: u64) -> Self {
        Self {
            term,
            round,
            prev: Position::default(),
            entries: Vec::new(),
            commit: Index::ZERO,
        }
    }

    /// Whether this is a heartbeat that makes sense in any order.
    pub(super) fn is_unordered(&self) -> bool {
        self.entries.is_empty() && self.prev == Position::default()
    }
}

impl Message {
    /// Whether the message may overtake earlier ones to the same receiver. Appends and chunks build
    /// on those before them, and a successor has to have all entries.
    pub fn is_unordered(&self) -> bool {
        match self {
            Self::PreVote(_)
            | Self::PreVoted { .. }
            | Self::Vote(_)
            | Self::Voted { .. }
            | Self::Appended(_)
            | Self::Chunked { .. } => true,
            Self::Append(append) => append.is_unordered(),
            Self::Chunk(_) | Self::Stand { .. } => false,
        }
    }

    /// Returns the term of the sender, or that of the election for a vote or pre-vote.
    pub fn term(&self) -> Term {
        match self {
            Self::PreVote(ballot) | Self::Vote(ballot) => ballot.term,
            Self::Append(append) => append.term,
            Self::Appended(appended) => appended.term,
            Self::Chunk(chunk) => chunk.term,
            Self::PreVoted { term, .. }
            | Self::Voted { term, .. }
            | Self::Chunked { term, .. }
            | Self::Stand { term } => *term,
        }
    }
}
