//! Progress of a connection to an upstream: a bound on what is read without a part of its answer, and
//! whether all of the request was written.
//!
//! The HTTP library bounds heads, chunk extensions and trailers, but not the length of a chunk's
//! size. It reads such a size without end in one go, which leaves no time for other connections.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Most bytes read without a part of an answer: several times a head or a full buffer.
const MAX_FRAMING_BYTES: usize = 256 << 10;

/// Progress of one connection. Clones count together.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Bytes read since the last head, or part of a body, that arrived.
    read: AtomicUsize,
    /// Whether the last write left bytes of the request behind.
    unsent: AtomicBool,
}

impl Progress {
    /// Records that a head or a part of a body has arrived.
    pub fn record(&self) {
        self.0.read.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// If there are more than [`MAX_FRAMING_BYTES`]; the connection must be closed.
    pub fn count(&self, bytes: usize) -> io::Result<()> {
        self.0.read.fetch_add(bytes, Ordering::Relaxed);
        match self.limit_exceeded() {
            None => Ok(()),
            Some(most) => Err(io::Error::other(format!(
                "more than {most} bytes without a part of an answer"
            ))),
        }
    }

    /// Returns the limit if more was read than that.
    pub fn limit_exceeded(&self) -> Option<usize> {
        (self.0.read.load(Ordering::Relaxed) > MAX_FRAMING_BYTES).then_some(MAX_FRAMING_BYTES)
    }

    /// Records whether a write left bytes behind.
    pub fn record_write(&self, unsent: bool) {
        self.0.unsent.store(unsent, Ordering::Relaxed);
    }

    /// Returns whether a part of the request is still to be written.
    pub fn has_unsent(&self) -> bool {
        self.0.unsent.load(Ordering::Relaxed)
    }
}
