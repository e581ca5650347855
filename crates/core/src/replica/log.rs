//! The in-memory log: the latest snapshot, the entries after it, and some entries before it that
//! are kept for followers that lag slightly.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::members::Members;
use crate::unit::Index;
use crate::unit::Term;

/// Term and index of an entry. Two logs that contain the same position are identical up to it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// A log entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub at: Position,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Payload {
    /// No-op entry that a new leader appends, so that it can commit entries of earlier terms.
    Blank,
    /// An encoded command for the state machine.
    Command(Arc<[u8]>),
    /// The membership, in effect as soon as the entry is in the log.
    Members(Members),
}

impl Payload {
    /// Returns the size of the command in bytes, or zero if this is not a command.
    pub fn size(&self) -> usize {
        match self {
            Self::Blank | Self::Members(_) => 0,
            Self::Command(bytes) => bytes.len(),
        }
    }
}

/// State of the state machine after all entries up to a position.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Snapshot {
    /// Position of the last entry contained; zero in the initial snapshot of a new group.
    pub at: Position,
    /// Membership as of that position.
    pub members: Members,
    /// Encoded state; empty in the initial snapshot of a new group.
    pub data: Arc<[u8]>,
}

/// The in-memory log.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Log {
    /// Position of the last entry that was compacted away; `entries` begins right after it.
    base: Position,
    /// Consecutive entries after `base`.
    entries: Vec<Entry>,
    /// Total size of their commands, in bytes.
    size: usize,
    /// The latest snapshot. It contains all entries up to `base`, and perhaps some of `entries`.
    snapshot: Arc<Snapshot>,
    /// Membership as of the last entry.
    members: Members,
    /// Index of the entry or snapshot that `members` was read from.
    members_index: Index,
}

impl Log {
    /// Creates a log from the contents of the disk. Entries that do not continue the snapshot are
    /// ignored: they remain on disk if the node stopped while it installed a snapshot that replaces
    /// them.
    pub fn new(snapshot: Arc<Snapshot>, entries: Vec<Entry>) -> Self {
        let diverged = entries
            .iter()
            .any(|entry| entry.at.index == snapshot.at.index && entry.at != snapshot.at);
        let mut log = Self {
            base: snapshot.at,
            entries: Vec::new(),
            size: 0,
            members: snapshot.members.clone(),
            members_index: snapshot.at.index,
            snapshot,
        };
        if diverged {
            return log;
        }
        let mut rest = entries.into_iter().peekable();
        while rest
            .next_if(|entry| entry.at.index <= log.base.index)
            .is_some()
        {}
        for entry in rest {
            if entry.at.index != log.last().index.next() {
                break;
            }
            log.push(entry);
        }
        log
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.last().map_or(self.base, |entry| entry.at)
    }

    /// Returns the position of the last entry that was compacted away.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the total size of the commands in the log, in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the membership as of the last entry, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the index of the entry or snapshot that set the current membership.
    pub fn members_index(&self) -> Index {
        self.members_index
    }

    /// Returns the term of an entry, or `None` if it was compacted away or is not in the log yet.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    /// Whether the log contains the entry at this position, or was compacted exactly up to it.
    pub fn contains(&self, at: Position) -> bool {
        self.term(at.index) == Some(at.term)
    }

    /// Returns an entry, or `None` if it was compacted away or is not in the log yet.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns entries from an index on, limited in number and in bytes of commands, but at least
    /// one entry if there is any.
    pub fn slice(&self, from: Index, max_entries: usize, max_bytes: usize) -> &[Entry] {
        let Some(start) = self.offset(from) else {
            return &[];
        };
        let rest = self.entries.get(start..).unwrap_or(&[]);
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += entry.payload.size();
            size <= max_bytes
        };
        let count = rest.iter().take(max_entries).take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    /// Returns how many entries, counted back from `until`, hold at most `max_bytes` of commands.
    pub fn count_back(&self, until: Index, max_bytes: usize) -> u64 {
        let count = self.offset(until.next()).unwrap_or(0);
        let kept = &self.entries[..count.min(self.entries.len())];
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += entry.payload.size();
            size <= max_bytes
        };
        kept.iter().rev().take_while(fits).count() as u64
    }

    /// Returns the total size of the commands in the entries of a range, those compacted away not
    /// counted. `until` is not part of the range.
    pub fn size_between(&self, from: Index, until: Index) -> usize {
        let start = self.offset(from).unwrap_or(0);
        let end = self.offset(until).unwrap_or(0).min(self.entries.len());
        let range = self.entries.get(start..end).unwrap_or(&[]);
        range.iter().map(|entry| entry.payload.size()).sum()
    }

    /// Returns the last position with at most this index and at most this term, or `None` if it was
    /// compacted away.
    pub fn last_at_most(&self, index: Index, term: Term) -> Option<Position> {
        let from = self
            .entries
            .partition_point(|entry| entry.at.index <= index);
        let kept = self.entries[..from].iter().rev().map(|entry| entry.at);
        kept.chain([self.base])
            .find(|at| at.term <= term && at.index <= index)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.at.index;
        }
        self.size += entry.payload.size();
        self.entries.push(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let Some(kept) = self.offset(from) else {
            return;
        };
        let removed = self.entries.iter().skip(kept);
        self.size -= removed.map(|entry| entry.payload.size()).sum::<usize>();
        self.entries.truncate(kept);
        if self.members_index >= from {
            self.reload_members();
        }
    }

    /// Stores a snapshot of this node's own state and removes the entries that it contains, except
    /// for the last `keep` of them.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, keep: u64) {
        let until = snapshot.at.index.saturating_sub(Index(keep));
        if let Some(term) = self.term(until).filter(|_| until > self.base.index) {
            let count = (until.0 - self.base.index.0) as usize;
            let removed = self.entries.drain(..count);
            self.size -= removed.map(|entry| entry.payload.size()).sum::<usize>();
            self.base = Position { term, index: until };
        }
        self.snapshot = snapshot;
    }

    /// Replaces the log by a snapshot from the leader. Entries after the snapshot are kept if the
    /// log contains the last entry of the snapshot.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        if self.contains(snapshot.at) {
            self.compact(snapshot, 0);
            return;
        }
        self.entries.clear();
        self.size = 0;
        self.base = snapshot.at;
        self.members = snapshot.members.clone();
        self.members_index = snapshot.at.index;
        self.snapshot = snapshot;
    }

    /// Returns the membership as of an index that is in the log.
    pub fn members_at(&self, index: Index) -> &Members {
        let before = |entry: &&Entry| entry.at.index <= index;
        self.entries
            .iter()
            .take_while(before)
            .filter_map(|entry| match &entry.payload {
                Payload::Members(members) => Some(members),
                Payload::Blank | Payload::Command(_) => None,
            })
            .last()
            .unwrap_or(&self.snapshot.members)
    }

    /// Sets the membership from the last entry that changed it, or else from the snapshot.
    fn reload_members(&mut self) {
        let found = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(members) => Some((entry.at.index, members)),
                Payload::Blank | Payload::Command(_) => None,
            });
        let (members_index, members) =
            found.unwrap_or((self.snapshot.at.index, &self.snapshot.members));
        self.members_index = members_index;
        self.members = members.clone();
    }

    /// Returns the position of an index in `entries`, which may lie past the end, or `None` if it
    /// was compacted away.
    fn offset(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.index.0)?.checked_sub(1)?;
        usize::try_from(offset).ok()
    }
}
