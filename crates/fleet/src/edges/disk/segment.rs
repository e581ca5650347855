//! Segments of the log.

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Entry;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;
use serde::Deserialize;
use serde::Serialize;

use super::frame;
use super::frame::FrameError;

/// One record; a frame holds those of one sync.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// First record of each segment.
    Start(Start),
    /// The term and the vote in it.
    Vote {
        /// Current term.
        term: Term,
        /// Who got the vote in it.
        vote: Option<ReplicaId>,
    },
    /// Entries, in order. Earlier ones from the first one's index on are void.
    Entries(Vec<Entry>),
}

/// See [`Record::Start`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Whose log it is.
    pub replica: ReplicaId,
    /// Number of the segment.
    pub number: u64,
    /// Whether entries of earlier segments are void.
    pub reset: bool,
    /// Last entry in the snapshot that was written before the segment; none in the first segment.
    pub snapshot: Option<Index>,
    /// Term when the segment began.
    pub term: Term,
    /// Vote in that term.
    pub vote: Option<ReplicaId>,
}

/// A segment as read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Segment {
    /// Its first record; none if not even that was written.
    pub start: Option<Start>,
    /// The records after it.
    pub records: Vec<Record>,
    /// Length of the whole frames, in bytes.
    pub end: usize,
    /// Whether an incomplete frame follows them.
    pub torn: bool,
}

/// Name of a segment's file.
pub fn name(number: u64) -> String {
    format!("log-{number:016x}")
}

/// Number of the segment in a file of this name; none for other files.
pub fn number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("log-")?;
    let number = u64::from_str_radix(digits, 16).ok()?;
    (self::name(number) == name).then_some(number)
}

/// Reads a segment.
///
/// # Errors
///
/// [`FrameError::Corrupt`] if a frame is damaged, or its records make no sense.
pub fn decode(bytes: &[u8]) -> Result<Segment, FrameError> {
    let scan = frame::scan(bytes)?;
    let mut segment = Segment {
        end: scan.end,
        torn: scan.torn,
        ..Segment::default()
    };
    for range in scan.payloads {
        let corrupt = FrameError::Corrupt(range.start.saturating_sub(frame::HEADER_BYTES));
        let payload = bytes.get(range).unwrap_or_default();
        let Ok((records, [])) = postcard::take_from_bytes::<Vec<Record>>(payload) else {
            return Err(corrupt);
        };
        for record in records {
            match (record, segment.start) {
                (Record::Start(start), None) => segment.start = Some(start),
                (Record::Start(_), Some(_)) | (_, None) => return Err(corrupt),
                (record, Some(_)) if is_ordered(&record) => segment.records.push(record),
                _ => return Err(corrupt),
            }
        }
    }
    Ok(segment)
}

/// Whether entries follow each other without a gap.
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
