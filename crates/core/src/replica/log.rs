//! The log in memory: the newest snapshot and the entries after an earlier point.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::members::Members;
use crate::unit::Index;
use crate::unit::Term;

/// Index and term of an entry. Two logs that share a position are equal up to it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Entry {
    /// Where it stands.
    pub at: Position,
    /// What it carries.
    pub payload: Payload,
}

/// What an entry carries.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term.
    Blank,
    /// A command for the state machine.
    Command(Arc<[u8]>),
    /// The members from here on.
    Members(Members),
}

impl Payload {
    /// Size of a command, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Blank | Self::Members(_) => 0,
            Self::Command(bytes) => bytes.len(),
        }
    }
}

/// State of the machine after all entries up to a position.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Snapshot {
    /// The last entry contained; the zero position in the snapshot that founds a group.
    pub at: Position,
    /// Members at that position.
    pub members: Members,
    /// Encoded machine; empty in the snapshot that founds a group.
    pub data: Arc<[u8]>,
}

/// The log. Entries up to `base` are dropped.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Log {
    base: Position,
    entries: Vec<Entry>,
    snapshot: Arc<Snapshot>,
    members: Members,
    members_index: Index,
}

impl Log {
    /// A log as read from disk. Entries that do not continue the snapshot are left out: the writes
    /// of a snapshot that replaces them were interrupted.
    pub fn new(snapshot: Arc<Snapshot>, entries: Vec<Entry>) -> Self {
        let diverged = entries
            .iter()
            .any(|entry| entry.at.index == snapshot.at.index && entry.at != snapshot.at);
        let mut log = Self {
            base: snapshot.at,
            entries: Vec::new(),
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

    /// Position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.last().map_or(self.base, |entry| entry.at)
    }

    /// Position up to which entries are dropped.
    pub fn base(&self) -> Position {
        self.base
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Members as of the last entry, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Index of the entry that the members come from.
    pub fn members_index(&self) -> Index {
        self.members_index
    }

    /// Term of an entry; none if it is dropped or not yet there.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    /// Whether the log holds this very entry or ends its dropped part with it.
    pub fn contains(&self, at: Position) -> bool {
        self.term(at.index) == Some(at.term)
    }

    /// An entry; none if it is dropped or not yet there.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Entries from an index on, bounded in number and bytes; one entry at least if there is any.
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

    /// Highest position at or below `index` whose term is at most `term`; none if it is dropped.
    pub fn last_at_most(&self, index: Index, term: Term) -> Option<Position> {
        let from = self
            .entries
            .partition_point(|entry| entry.at.index <= index);
        let kept = self.entries[..from].iter().rev().map(|entry| entry.at);
        kept.chain([self.base])
            .find(|at| at.term <= term && at.index <= index)
    }

    /// Adds an entry behind the last one.
    pub fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.at.index;
        }
        self.entries.push(entry);
    }

    /// Drops the entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let Some(kept) = self.offset(from) else {
            return;
        };
        self.entries.truncate(kept);
        if self.members_index >= from {
            self.reload_members();
        }
    }

    /// Takes a snapshot of the own state in and drops entries, but for the last `keep` before it.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, keep: u64) {
        let until = snapshot.at.index.saturating_sub(Index(keep));
        if let Some(term) = self.term(until).filter(|_| until > self.base.index) {
            let count = (until.0 - self.base.index.0) as usize;
            self.entries.drain(..count);
            self.base = Position { term, index: until };
        }
        self.snapshot = snapshot;
    }

    /// Replaces the log by a snapshot from the leader; entries that continue it stay.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        if self.contains(snapshot.at) {
            self.compact(snapshot, 0);
            return;
        }
        self.entries.clear();
        self.base = snapshot.at;
        self.members = snapshot.members.clone();
        self.members_index = snapshot.at.index;
        self.snapshot = snapshot;
    }

    /// Members as of an index that is in the log.
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

    fn offset(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.index.0)?.checked_sub(1)?;
        usize::try_from(offset).ok()
    }
}
