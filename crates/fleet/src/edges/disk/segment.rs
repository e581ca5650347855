//! File format of the log segments.

use std::io::Read;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Entry;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;
use serde::Deserialize;
use serde::Serialize;

use super::frame;
use super::frame::FrameError;
use super::frame::ReadError;

/// A record in a segment. A frame contains the records of one sync. Records are stored in postcard,
/// which encodes variants and fields by their position.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// First record of each segment; occurs nowhere else.
    Start(Start),
    /// The current term and vote.
    Vote {
        /// Current term.
        term: Term,
        /// Candidate that received the replica's vote in this term.
        vote: Option<ReplicaId>,
    },
    /// Consecutive entries. They replace all earlier entries from the index of the first one on.
    Entries(Vec<Entry>),
}

/// State at the start of a segment, which makes the segment independent of earlier ones that were
/// removed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Replica that wrote the segment.
    pub replica: ReplicaId,
    /// Number of the segment.
    pub number: u64,
    /// Whether the snapshot replaced all entries of earlier segments.
    pub reset: bool,
    /// Last entry in the snapshot that was written before the segment, or `None` in the first
    /// segment.
    pub snapshot: Option<Index>,
    /// Term when the segment was started.
    pub term: Term,
    /// Vote in that term.
    pub vote: Option<ReplicaId>,
}

/// Content of a segment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Segment {
    /// The start record, or `None` if the creation of the segment was interrupted.
    pub start: Option<Start>,
    /// The records after the start record.
    pub records: Vec<Record>,
    /// Highest index in the segment, or zero if it contains no entries.
    pub last: Index,
    /// Length of all complete frames, in bytes.
    pub end: usize,
    /// Whether an incomplete frame follows the complete ones.
    pub torn: bool,
}

/// Returns the name of a segment's file.
pub fn file_name(number: u64) -> String {
    format!("log-{number:016x}")
}

/// Returns the number of the segment in a file of this name, or `None` if it is not a segment.
pub fn number(file_name: &str) -> Option<u64> {
    let digits = file_name.strip_prefix("log-")?;
    let number = u64::from_str_radix(digits, 16).ok()?;
    (self::file_name(number) == file_name).then_some(number)
}

/// Decodes the content of a segment's file.
///
/// # Errors
///
/// [`ReadError::Io`], or [`FrameError::Corrupt`] if a frame is damaged, a record cannot be decoded, or
/// the start record is not the first and only one.
pub fn read(input: impl Read) -> Result<Segment, ReadError> {
    let mut reader = frame::Reader::new(input);
    let mut segment = Segment::default();
    while let Some(payload) = reader.next_payload()? {
        let corrupt = FrameError::Corrupt(segment.end);
        let Ok((records, [])) = postcard::take_from_bytes::<Vec<Record>>(&payload) else {
            return Err(corrupt.into());
        };
        for record in records {
            match (record, segment.start) {
                (Record::Start(start), None) => segment.start = Some(start),
                (Record::Start(_), Some(_)) | (_, None) => return Err(corrupt.into()),
                (record, Some(_)) if is_ordered(&record) => segment.push(record),
                _ => return Err(corrupt.into()),
            }
        }
        segment.end = reader.end();
    }
    segment.torn = reader.is_torn();
    Ok(segment)
}

impl Segment {
    /// Adds a record.
    fn push(&mut self, record: Record) {
        if let Record::Entries(entries) = &record {
            let last = entries.last().map_or(Index::ZERO, |entry| entry.at.index);
            self.last = self.last.max(last);
        }
        self.records.push(record);
    }
}

/// Whether a record with entries has at least one and they are consecutive. Other records are valid.
fn is_ordered(record: &Record) -> bool {
    let Record::Entries(entries) = record else {
        return true;
    };
    let first = entries.first().map_or(Index::ZERO, |entry| entry.at.index);
    let expected = (first.0..).map(Index);
    first > Index::ZERO
        && entries
            .iter()
            .zip(expected)
            .all(|(entry, index)| entry.at.index == index)
}
