//! Rebuilds the state of the log from its segments.

use std::path::Path;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Entry;
use chestnutnotch_core::replica::Snapshot;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;

use super::error::DiskError;
use super::file;
use super::segment::Record;
use super::segment::Segment;
use super::snapshot;

/// State that results from the segments read so far.
#[derive(Default)]
pub struct History {
    /// Current term.
    pub term: Term,
    /// Candidate that received the replica's vote in this term.
    pub vote: Option<ReplicaId>,
    /// Last entry in the snapshot that was written before the newest segment.
    snapshot: Option<Index>,
    /// Index of the first entry that is kept.
    from: Index,
    /// Log entries, in order.
    pub entries: Vec<Entry>,
}

impl History {
    /// Creates a history without the entries before an index.
    pub fn new(from: Index) -> Self {
        Self {
            from,
            ..Self::default()
        }
    }

    /// Applies a segment.
    pub fn replay(&mut self, path: &Path, segment: Segment) -> Result<(), DiskError> {
        if let Some(start) = segment.start {
            self.term = start.term;
            self.vote = start.vote;
            self.snapshot = start.snapshot;
            if start.reset {
                self.entries.clear();
            }
        }
        for record in segment.records {
            match record {
                Record::Vote { term, vote } => {
                    self.term = term;
                    self.vote = vote;
                }
                Record::Entries(entries) => self.extend(path, entries)?,
                Record::Start(_) => return Err(file::corrupt(path, 0)),
            }
        }
        Ok(())
    }

    /// Checks that the snapshot on disk is at least as new as the log requires, and that no entries
    /// are missing between it and the log.
    pub fn check(&self, folder: &Path, snapshot: Option<&Snapshot>) -> Result<(), DiskError> {
        let on_disk = snapshot.map(|snapshot| snapshot.at.index);
        if on_disk < self.snapshot {
            return Err(DiskError::Missing {
                path: folder.join(snapshot::FILE_NAME),
            });
        }
        let first = self.entries.first().map(|entry| entry.at.index);
        if first.is_some_and(|first| first > on_disk.unwrap_or_default().next()) {
            return Err(DiskError::Gap {
                path: folder.to_path_buf(),
            });
        }
        Ok(())
    }

    /// Whether the log has another entry where the snapshot ends: the snapshot came from a leader and
    /// replaces the entries, and the process ended before that was written.
    pub fn diverges(&self, snapshot: &Snapshot) -> bool {
        let index = snapshot.at.index;
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.at.index == index && entry.at != snapshot.at)
    }

    /// Appends entries after removing those that they replace.
    fn extend(&mut self, path: &Path, entries: Vec<Entry>) -> Result<(), DiskError> {
        let Some(first) = entries.first().map(|entry| entry.at.index) else {
            return Ok(());
        };
        let kept_count = self.entries.partition_point(|entry| entry.at.index < first);
        self.entries.truncate(kept_count);
        let follows = self
            .entries
            .last()
            .is_none_or(|last| last.at.index.next() == first);
        if !follows {
            return Err(file::corrupt(path, 0));
        }
        let kept = entries.into_iter();
        let kept = kept.filter(|entry| entry.at.index >= self.from);
        self.entries.extend(kept);
        Ok(())
    }
}

/// Returns the index of the last entry in a record, or `None` if it has no entries.
pub fn last_index(record: &Record) -> Option<Index> {
    match record {
        Record::Entries(entries) => entries.last().map(|entry| entry.at.index),
        Record::Start(_) | Record::Vote { .. } => None,
    }
}
