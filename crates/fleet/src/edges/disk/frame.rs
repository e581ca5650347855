//! Checksummed frames, of which all files consist.
//!
//! A frame is a magic number, the payload's length, a CRC-32 of length and payload, and the payload;
//! numbers are little-endian.

use std::ops::Range;

use thiserror::Error;

/// Bytes before the payload.
pub const HEADER_BYTES: usize = 12;

/// Largest payload, in bytes.
pub const PAYLOAD_BYTES: usize = (1 << 30) + (1 << 20);

const MAGIC: [u8; 4] = *b"cnf1";

/// Unit in which a disk writes a file's bytes: all of a sector or none.
const SECTOR_BYTES: usize = 512;

/// What is wrong with a sequence of frames.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum FrameError {
    /// A frame does not hold its checksum and was not merely cut short.
    #[error("damaged at byte {0}")]
    Corrupt(usize),
    /// The payload is too large.
    #[error("{0} bytes do not fit a frame")]
    Oversized(usize),
}

/// Frames read from a file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Scan {
    /// Where the payloads are.
    pub payloads: Vec<Range<usize>>,
    /// Length of the whole frames.
    pub end: usize,
    /// Whether an incomplete frame follows them.
    pub torn: bool,
}

/// Encodes a frame.
///
/// # Errors
///
/// [`FrameError::Oversized`].
pub fn encode(payload: &[u8]) -> Result<Vec<u8>, FrameError> {
    if payload.len() > PAYLOAD_BYTES {
        return Err(FrameError::Oversized(payload.len()));
    }
    let length = (payload.len() as u32).to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&checksum(&length, payload).to_le_bytes());
    frame.extend_from_slice(payload);
    Ok(frame)
}

/// Finds the frames in a file. Each frame was synced before the next one was written, so only the
/// last one can be incomplete.
///
/// # Errors
///
/// [`FrameError::Corrupt`] if a damaged frame is followed by a whole one, or is damaged in a way that
/// an interrupted write does not leave.
pub fn scan(bytes: &[u8]) -> Result<Scan, FrameError> {
    let mut scan = Scan::default();
    while scan.end < bytes.len() {
        match payload_at(bytes, scan.end) {
            Some(payload) => {
                scan.end = payload.end;
                scan.payloads.push(payload);
            }
            None if is_torn(bytes, scan.end) => {
                scan.torn = true;
                return Ok(scan);
            }
            None => return Err(FrameError::Corrupt(scan.end)),
        }
    }
    Ok(scan)
}

fn payload_at(bytes: &[u8], start: usize) -> Option<Range<usize>> {
    let header = bytes.get(start..start.checked_add(HEADER_BYTES)?)?;
    let (magic, rest) = header.split_first_chunk::<4>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let sum = rest.first_chunk::<4>()?;
    let range = start + HEADER_BYTES..start + HEADER_BYTES + u32::from_le_bytes(*length) as usize;
    let payload = bytes.get(range.clone())?;
    let valid = *magic == MAGIC && checksum(length, payload) == u32::from_le_bytes(*sum);
    valid.then_some(range)
}

/// Whether the bad frame at `start` is the rest of an interrupted write: no whole frame follows, and
/// the file ends within it or a sector of it was never written and reads as zeros.
fn is_torn(bytes: &[u8], start: usize) -> bool {
    let later = start + 1..bytes.len();
    let followed = later
        .filter(|at| bytes[*at..].starts_with(&MAGIC))
        .any(|at| payload_at(bytes, at).is_some());
    if followed {
        return false;
    }
    let end = frame_end(bytes, start);
    end.is_none_or(|end| end > bytes.len()) || has_hole(bytes, start)
}

/// End of the frame according to its header; none if the header is incomplete.
fn frame_end(bytes: &[u8], start: usize) -> Option<usize> {
    let header = bytes.get(start..start + HEADER_BYTES)?;
    let length = header.get(4..8)?.first_chunk::<4>()?;
    if !header.starts_with(&MAGIC) {
        return Some(start + HEADER_BYTES);
    }
    Some(start + HEADER_BYTES + u32::from_le_bytes(*length) as usize)
}

fn has_hole(bytes: &[u8], start: usize) -> bool {
    let mut at = start;
    while at < bytes.len() {
        let end = ((at / SECTOR_BYTES + 1) * SECTOR_BYTES).min(bytes.len());
        if bytes[at..end].iter().all(|byte| *byte == 0) {
            return true;
        }
        at = end;
    }
    false
}

fn checksum(length: &[u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}
