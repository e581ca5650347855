//! Checksummed frames, of which the snapshot, the identity and the log segments consist.
//!
//! A frame consists of a magic number, the length of the payload in bytes, the CRC-32 of length and
//! payload, and the payload. Numbers are 4 bytes long and little-endian.

use std::io;
use std::io::Read;
use std::ops::Range;

use thiserror::Error;

/// Size of a frame's header: magic number, length and checksum.
pub const HEADER_BYTES: usize = 12;

/// Largest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = (1 << 30) + (1 << 20);

/// Marks the start of a frame.
const MAGIC: [u8; 4] = *b"cnf1";

/// Unit that a disk writes as a whole or not at all.
const SECTOR_BYTES: usize = 512;

/// Error of a frame.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum FrameError {
    /// The frame at this offset, in bytes, is damaged, and not merely by an interrupted write.
    #[error("damaged at byte {0}")]
    Corrupt(usize),
    /// A payload of this many bytes is too large for a frame.
    #[error("{0} bytes do not fit a frame")]
    Oversized(usize),
}

/// Why a file of frames can't be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// A frame is damaged.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The operating system returned an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Frames found in a file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Scan {
    /// Byte ranges of the payloads, in order.
    pub payloads: Vec<Range<usize>>,
    /// Length of all complete frames, in bytes.
    pub end: usize,
    /// Whether an incomplete frame follows the complete ones.
    pub torn: bool,
}

/// Encodes a frame.
///
/// # Errors
///
/// [`FrameError::Oversized`] if the payload exceeds [`MAX_PAYLOAD_BYTES`].
pub fn encode(payload: &[u8]) -> Result<Vec<u8>, FrameError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
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

/// Reads the frames of a file one at a time, so that memory holds one of them and not the whole file.
#[derive(Debug)]
pub struct Reader<R> {
    input: R,
    /// Length of the complete frames so far, in bytes.
    end: usize,
    /// Whether an incomplete frame follows them.
    torn: bool,
}

impl<R: Read> Reader<R> {
    /// Creates a reader at the start of a file.
    pub fn new(input: R) -> Self {
        Self {
            input,
            end: 0,
            torn: false,
        }
    }

    /// Returns the length of the frames read so far, in bytes.
    pub fn end(&self) -> usize {
        self.end
    }

    /// Returns whether an incomplete frame follows the last one.
    pub fn is_torn(&self) -> bool {
        self.torn
    }

    /// Returns the payload of the next frame, or `None` after the last complete one.
    ///
    /// # Errors
    ///
    /// [`ReadError::Io`], or [`ReadError::Frame`] as for [`scan`].
    pub fn next_payload(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        let mut header = Vec::with_capacity(HEADER_BYTES);
        self.input
            .by_ref()
            .take(HEADER_BYTES as u64)
            .read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(None);
        }
        let mut payload = Vec::new();
        if let Some((length, sum)) = decode_header(&header) {
            let size = u32::from_le_bytes(length);
            self.input
                .by_ref()
                .take(u64::from(size))
                .read_to_end(&mut payload)?;
            if payload.len() == size as usize && checksum(&length, &payload) == sum {
                self.end += HEADER_BYTES + payload.len();
                return Ok(Some(payload));
            }
        }
        let mut rest = header;
        rest.append(&mut payload);
        self.input.read_to_end(&mut rest)?;
        self.torn = is_torn(&rest, 0, self.end);
        match self.torn {
            true => Ok(None),
            false => Err(FrameError::Corrupt(self.end).into()),
        }
    }
}

/// Finds the frames in a file. Each frame was synced before the next one was written, so only the
/// last one can be incomplete.
///
/// # Errors
///
/// [`FrameError::Corrupt`] if a complete frame follows a damaged one, or if an interrupted write
/// cannot have caused the damage.
pub fn scan(bytes: &[u8]) -> Result<Scan, FrameError> {
    let mut scan = Scan::default();
    while scan.end < bytes.len() {
        match payload_at(bytes, scan.end) {
            Some(payload) => {
                scan.end = payload.end;
                scan.payloads.push(payload);
            }
            None if is_torn(bytes, scan.end, 0) => {
                scan.torn = true;
                return Ok(scan);
            }
            None => return Err(FrameError::Corrupt(scan.end)),
        }
    }
    Ok(scan)
}

/// Returns the byte range of the payload of the frame at `start`, or `None` if no valid frame
/// starts there.
fn payload_at(bytes: &[u8], start: usize) -> Option<Range<usize>> {
    let header = bytes.get(start..start.checked_add(HEADER_BYTES)?)?;
    let (length, sum) = decode_header(header)?;
    let range = start + HEADER_BYTES..start + HEADER_BYTES + u32::from_le_bytes(length) as usize;
    let payload = bytes.get(range.clone())?;
    let valid = checksum(&length, payload) == sum;
    valid.then_some(range)
}

/// Returns the length field and the checksum in a header, or `None` if it is incomplete or has a wrong
/// magic number.
fn decode_header(header: &[u8]) -> Option<([u8; 4], u32)> {
    let (magic, rest) = header.split_first_chunk::<4>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let sum = rest.first_chunk::<4>()?;
    (*magic == MAGIC).then_some((*length, u32::from_le_bytes(*sum)))
}

/// Whether an interrupted write explains the invalid frame at `start`: no complete frame follows,
/// and either the file ends within it, or one of its sectors was never written and reads as zeros.
/// `offset` is where `bytes` begin in the file.
fn is_torn(bytes: &[u8], start: usize, offset: usize) -> bool {
    let later = start + 1..bytes.len();
    let followed = later
        .filter(|at| bytes[*at..].starts_with(&MAGIC))
        .any(|at| payload_at(bytes, at).is_some());
    if followed {
        return false;
    }
    let end = frame_end(bytes, start);
    end.is_none_or(|end| end > bytes.len()) || has_zero_sector(bytes, start, offset)
}

/// Returns the end of the frame according to its header, or `None` if the header is incomplete. The
/// length in a header with a wrong magic number is ignored.
fn frame_end(bytes: &[u8], start: usize) -> Option<usize> {
    let header = bytes.get(start..start + HEADER_BYTES)?;
    let length = header.get(4..8)?.first_chunk::<4>()?;
    if !header.starts_with(&MAGIC) {
        return Some(start + HEADER_BYTES);
    }
    Some(start + HEADER_BYTES + u32::from_le_bytes(*length) as usize)
}

/// Whether a sector from `start` on contains only zeros. `offset` is where `bytes` begin in the file.
fn has_zero_sector(bytes: &[u8], start: usize, offset: usize) -> bool {
    let mut at = start;
    while at < bytes.len() {
        let sector_end = ((offset + at) / SECTOR_BYTES + 1) * SECTOR_BYTES - offset;
        let end = sector_end.min(bytes.len());
        if bytes[at..end].iter().all(|byte| *byte == 0) {
            return true;
        }
        at = end;
    }
    false
}

/// Returns the CRC-32 of a frame's length and payload.
fn checksum(length: &[u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}
