//! Bound on the memory that the bodies of answers take, shared by all requests in flight.
//!
//! Each body is bounded by itself, but slow callers may hold many at once, and a faulty upstream may
//! make all of them as large as it likes.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Memory for the bodies of answers. Cheap to clone; clones share it.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    /// One permit for each free byte.
    free: Arc<Semaphore>,
}

/// A part of the memory, which is free again once this is dropped.
#[derive(Debug)]
pub struct Share(OwnedSemaphorePermit);

/// Bytes with the share that counts for them.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerMemory {
    /// Creates a memory of this number of bytes.
    pub fn new(bytes: usize) -> Self {
        let bytes = bytes.min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(bytes)),
        }
    }

    /// Takes a share of this number of bytes; `None` if less is free.
    pub fn try_take(&self, bytes: usize) -> Option<Share> {
        let count = u32::try_from(bytes).ok()?;
        let permit = Arc::clone(&self.free).try_acquire_many_owned(count);
        permit.ok().map(Share)
    }

    /// Counts bytes until all copies of the result are dropped.
    ///
    /// # Errors
    ///
    /// Returns the bytes, not counted, if less is free.
    pub fn try_hold(&self, bytes: Bytes) -> Result<Bytes, Bytes> {
        match self.try_take(bytes.len()) {
            Some(share) => Ok(share.hold(bytes)),
            None => Err(bytes),
        }
    }
}

impl Share {
    /// Adds another share of the same memory.
    pub fn merge(&mut self, other: Self) {
        self.0.merge(other.0);
    }

    /// Keeps the share until all copies of the bytes are dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _share: self,
        })
    }
}
