//! Messages between replicas.

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
    /// Asks whether an election could be won, before the term is raised for it.
    PreVote(Ballot),
    /// Answer to a pre-vote for the ballot's term.
    PreVoted {
        /// Own term of the sender.
        term: Term,
        /// Term of the ballot.
        ballot: Term,
        /// Whether the sender would vote so.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(Ballot),
    /// Answer to a vote.
    Voted {
        /// Own term of the sender.
        term: Term,
        /// Whether it voted for the receiver.
        granted: bool,
    },
    /// Entries from the leader; without entries a heartbeat.
    Append(Append),
    /// Answer to [`Message::Append`].
    Appended(Appended),
    /// Part of a snapshot from the leader.
    Chunk(Chunk),
    /// Answer to [`Message::Chunk`].
    Chunked {
        /// Own term of the sender.
        term: Term,
        /// Round of the chunk.
        round: u64,
        /// Snapshot that the sender collects.
        at: Position,
        /// How many bytes of it the sender has.
        offset: u64,
    },
    /// The leader stops and asks a voter that holds its whole log to stand at once.
    Stand {
        /// Term of the leader.
        term: Term,
    },
}

/// A candidate's case.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ballot {
    /// Term of the election.
    pub term: Term,
    /// Last entry of the candidate.
    pub last: Position,
}

/// See [`Message::Append`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Append {
    /// Term of the leader.
    pub term: Term,
    /// Number of the leader's last round of messages; echoed, and so confirms reads.
    pub round: u64,
    /// The entry before the first one here.
    pub prev: Position,
    /// Entries, in order.
    pub entries: Vec<Entry>,
    /// Highest entry that the leader knows to be committed.
    pub commit: Index,
}

/// See [`Message::Appended`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Appended {
    /// Own term of the sender.
    pub term: Term,
    /// Round of the append.
    pub round: u64,
    /// Whether the logs met.
    pub outcome: AppendOutcome,
}

/// Whether a follower's log met the leader's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum AppendOutcome {
    /// The logs are equal, and synced here, up to this index.
    Matched(Index),
    /// The entry before the first one sent is not in the follower's log.
    Conflict {
        /// Index of that entry.
        prev: Index,
        /// Highest entry of the follower that the leader may share.
        hint: Position,
    },
}

/// See [`Message::Chunk`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Chunk {
    /// Term of the leader.
    pub term: Term,
    /// Number of the leader's last round of messages.
    pub round: u64,
    /// Last entry in the snapshot.
    pub at: Position,
    /// Members at that entry.
    pub members: Members,
    /// Size of the whole data, in bytes.
    pub size: u64,
    /// Where these bytes start.
    pub offset: u64,
    /// The bytes.
    pub bytes: Arc<[u8]>,
}

impl Message {
    /// Term of the sender, or of the election that it asks about.
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
