//! What the segments of a log amount to.

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

/// What the records read so far amount to.
#[derive(Default)]
pub struct History {
    /// Current term.
    pub term: Term,
    /// Who got the vote in it.
    pub vote: Option<ReplicaId>,
    snapshot: Option<Index>,
    /// Entries, in order.
    pub entries: Vec<Entry>,
}

impl History {
    /// Takes in a segment and returns the highest index in it.
    pub fn replay(&mut self, path: &Path, segment: Segment) -> Result<Index, DiskError> {
        let mut highest = Index::ZERO;
        if let Some(start) = segment.start {
            self.term = start.term;
            self.vote = start.vote;
            self.snapshot = start.snapshot;
            if start.reset {
                self.entries.clear();
            }
        }
        for record in segment.records {
            highest = highest.max(last_index(&record).unwrap_or_default());
            match record {
                Record::Vote { term, vote } => {
                    self.term = term;
                    self.vote = vote;
                }
                Record::Entries(entries) => self.extend(path, entries)?,
                Record::Start(_) => return Err(file::corrupt(path, 0)),
            }
        }
        Ok(highest)
    }

    /// Refuses a snapshot that is older than the log knows of, and one that the log does not continue.
    pub fn check(&self, folder: &Path, snapshot: Option<&Snapshot>) -> Result<(), DiskError> {
        let held = snapshot.map(|snapshot| snapshot.at.index);
        if held < self.snapshot {
            return Err(DiskError::Missing {
                path: folder.join(snapshot::NAME),
            });
        }
        let first = self.entries.first().map(|entry| entry.at.index);
        if first.is_some_and(|first| first > held.unwrap_or_default().next()) {
            return Err(DiskError::Gap {
                path: folder.to_path_buf(),
            });
        }
        Ok(())
    }

    fn extend(&mut self, path: &Path, entries: Vec<Entry>) -> Result<(), DiskError> {
        let Some(first) = entries.first().map(|entry| entry.at.index) else {
            return Ok(());
        };
        let keep = self.entries.partition_point(|entry| entry.at.index < first);
        self.entries.truncate(keep);
        let follows = self
            .entries
            .last()
            .is_none_or(|last| last.at.index.next() == first);
        if !follows {
            return Err(file::corrupt(path, 0));
        }
        self.entries.extend(entries);
        Ok(())
    }
}

/// Index of the last entry in a record; none if it has no entries.
pub fn last_index(record: &Record) -> Option<Index> {
    match record {
        Record::Entries(entries) => entries.last().map(|entry| entry.at.index),
        Record::Start(_) | Record::Vote { .. } => None,
    }
}
