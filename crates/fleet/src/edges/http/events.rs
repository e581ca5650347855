//! Splits a body of server-sent events into single events.
//!
//! An event ends with a blank line. Lines end with LF, CR LF or CR, as the format
//! (`text/event-stream`) allows.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Longest single event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// An event is longer than 256 KiB.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream of bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The bytes after the last complete event.
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and returns the complete events; the rest is kept for the next call.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`].
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            return Ok(bytes);
        }
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(&bytes);
        let Some(end) = last_event_end(&self.partial[searched..]) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(Bytes::new());
        };
        Ok(self.partial.split_to(searched + end).freeze())
    }

    /// Returns the size of the incomplete event that the bytes so far end in; zero if they end
    /// between events. Blank lines and whole comments belong to no event.
    pub fn partial_bytes(&self) -> usize {
        match is_comment(&self.partial) {
            true => 0,
            false => self.partial.len(),
        }
    }

    /// Takes the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// Iterates over complete events, each with its blank line.
pub fn split_events(mut events: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        if events.is_empty() {
            return None;
        }
        let end = first_event_end(&events).unwrap_or(events.len());
        Some(events.split_to(end))
    })
}

/// Returns the number in the `id` field of an event, if it has one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(is_line_end);
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns whether an event carries data. Comments, for example, don't.
pub fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(is_line_end);
    lines.any(|line| line.starts_with(b"data"))
}

/// Returns whether bytes consist of whole comments and blank lines, and so carry no event.
pub fn is_comment(bytes: &[u8]) -> bool {
    let mut lines = bytes.split_inclusive(is_line_end);
    lines.all(|line| match line {
        [end] => is_line_end(end),
        [b':', .., end] => is_line_end(end),
        _ => false,
    })
}

/// Returns an event from its first line that is neither blank nor a comment.
pub fn skip_comments(event: &[u8]) -> &[u8] {
    let lines = event.split_inclusive(is_line_end);
    let skipped = lines.take_while(|line| is_comment(line)).map(<[u8]>::len);
    event.split_at(skipped.sum()).1
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns whether the second of two adjacent bytes ends a blank line.
fn ends_event(pair: &[u8]) -> bool {
    matches!(pair, b"\n\n" | b"\n\r" | b"\r\r")
}

fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let pair = bytes.windows(2).position(ends_event)?;
    Some(after_pair(bytes, pair))
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let pair = bytes.windows(2).rposition(ends_event)?;
    Some(after_pair(bytes, pair))
}

/// Returns the end of the blank line that the pair of bytes at `pair` ends. A CR LF is one line end.
fn after_pair(bytes: &[u8], pair: usize) -> usize {
    match &bytes[pair + 1..] {
        [b'\r', b'\n', ..] => pair + 3,
        _ => pair + 2,
    }
}
