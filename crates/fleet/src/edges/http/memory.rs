//! Bounds on the memory that the bodies of requests and of answers take, shared by all requests in
//! flight.
//!
//! Each body is bounded by itself, but slow callers may hold many at once, and a faulty upstream may
//! make all of them as large as it likes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use chestnutnotch_core::limit::BodyId;
use chestnutnotch_core::limit::BodyShares;
use chestnutnotch_core::limit::Growth;
use chestnutnotch_core::map::Map;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::futures::OwnedNotified;

use super::buffer::Buffer;

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

/// Memory for the bodies of requests. Cheap to clone; clones share it.
#[derive(Clone, Debug)]
pub struct RequestMemory(Arc<Mutex<Bodies>>);

#[derive(Debug)]
struct Bodies {
    shares: BodyShares,
    incoming: Map<BodyId, IncomingBody>,
}

/// A body that is still being sent.
#[derive(Debug, Default)]
struct IncomingBody {
    buffer: Buffer,
    /// Wakes the reader once the body has given way.
    ended: Arc<Notify>,
}

/// The memory has no room for a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;

impl RequestMemory {
    /// Creates a memory of this number of bytes.
    pub fn new(bytes: usize) -> Self {
        let bodies = Bodies {
            shares: BodyShares::new(bytes),
            incoming: Map::default(),
        };
        Self(Arc::new(Mutex::new(bodies)))
    }

    /// Adds a body of which nothing has arrived yet.
    pub fn begin(&self) -> HeldBody {
        let mut bodies = self.lock();
        let id = bodies.shares.begin();
        let body = IncomingBody::default();
        let ended = Arc::clone(&body.ended);
        bodies.incoming.insert(id, body);
        HeldBody {
            memory: self.clone(),
            id,
            ended,
        }
    }

    /// Counts complete bytes until all copies of the result are dropped.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if the memory has no room.
    pub fn hold(&self, bytes: Vec<u8>) -> Result<Bytes, NoRoom> {
        let body = self.begin();
        self.lock().set(body.id, bytes)?;
        body.complete()
    }

    /// Ends the body that has been on its way longest. Returns whether there was one.
    pub fn end_oldest(&self) -> bool {
        let mut bodies = self.lock();
        let oldest = bodies.shares.end_oldest();
        if let Some(id) = oldest {
            bodies.discard(id);
        }
        oldest.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Bodies> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bodies {
    fn discard(&mut self, id: BodyId) {
        if let Some(body) = self.incoming.remove(&id) {
            body.ended.notify_one();
        }
    }

    /// Sets the buffer of a body.
    fn set(&mut self, id: BodyId, bytes: Vec<u8>) -> Result<(), NoRoom> {
        self.grow(id, bytes.capacity())?;
        let body = self.incoming.get_mut(&id).ok_or(NoRoom)?;
        body.buffer = bytes.into();
        Ok(())
    }

    /// Lets a body hold `bytes` in all, for which others may have to give way.
    fn grow(&mut self, id: BodyId, bytes: usize) -> Result<(), NoRoom> {
        match self.shares.grow(id, bytes) {
            Growth::Granted(ended) => {
                ended.into_iter().for_each(|id| self.discard(id));
                Ok(())
            }
            Growth::Refused => Err(NoRoom),
        }
    }

    /// Appends to a body, whose buffer doubles up to `most` bytes.
    fn append(&mut self, id: BodyId, data: &[u8], most: usize) -> Result<(), NoRoom> {
        let held = &self.incoming.get(&id).ok_or(NoRoom)?.buffer;
        let capacity = held.capacity();
        let needed = held.as_ref().len() + data.len();
        let wanted = match needed > capacity {
            true => (2 * capacity).min(most).max(needed),
            false => capacity,
        };
        if wanted > capacity {
            self.grow(id, wanted)?;
        }
        let buffer = &mut self.incoming.get_mut(&id).ok_or(NoRoom)?.buffer;
        buffer.grow(wanted);
        buffer.append(data);
        Ok(())
    }
}

/// A body in a [`RequestMemory`], which counts there until this is dropped.
#[derive(Debug)]
pub struct HeldBody {
    memory: RequestMemory,
    id: BodyId,
    ended: Arc<Notify>,
}

impl HeldBody {
    /// Appends bytes. `most` is the largest size that the body may have, in bytes.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if the memory has no room, or the body has given way to others.
    pub fn append(&self, data: &[u8], most: usize) -> Result<(), NoRoom> {
        self.memory.lock().append(self.id, data, most)
    }

    /// Counts `bytes` in all for a body whose bytes are kept elsewhere.
    ///
    /// # Errors
    ///
    /// See [`HeldBody::append`].
    pub fn count(&self, bytes: usize) -> Result<(), NoRoom> {
        self.memory.lock().grow(self.id, bytes)
    }

    /// Like [`HeldBody::ended`], for as long as the result lives.
    pub fn ended_owned(&self) -> OwnedNotified {
        Arc::clone(&self.ended).notified_owned()
    }

    /// Resolves once the body has given way to others.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Returns the complete body, which counts until all copies are dropped.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if the body has given way to others.
    pub fn complete(self) -> Result<Bytes, NoRoom> {
        let mut bodies = self.memory.lock();
        if !bodies.shares.complete(self.id) {
            return Err(NoRoom);
        }
        let buffer = bodies.incoming.remove(&self.id).ok_or(NoRoom)?.buffer;
        drop(bodies);
        match buffer.as_ref().is_empty() {
            true => Ok(Bytes::new()),
            false => Ok(Bytes::from_owner(CompleteBody {
                buffer,
                _body: self,
            })),
        }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut bodies = self.memory.lock();
        bodies.shares.end(self.id);
        bodies.incoming.remove(&self.id);
    }
}

/// A complete body with its share.
struct CompleteBody {
    buffer: Buffer,
    _body: HeldBody,
}

impl AsRef<[u8]> for CompleteBody {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}
