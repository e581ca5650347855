//! Chats that this router runs or finished recently, by idempotency key.
//!
//! A resend waits for the running chat, or gets the recorded answer. Both the number and the bytes
//! of recorded answers are bounded; the oldest are evicted first.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::RequestId;
use chestnutnotch_core::map::Map;
use tokio::sync::watch;

/// Most answers that are recorded.
const MAX_ANSWERS: usize = 4_096;
/// Most bytes of all recorded answers together.
const MAX_TOTAL_BYTES: usize = 4 << 20;

/// Largest answer that is recorded, in bytes.
pub const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Result of looking up a request.
#[derive(Debug)]
pub enum Lookup {
    /// The request is new and now registered as running: the holder of the guard runs it.
    New(RunGuard),
    /// It is running; the receiver returns an error once it has ended.
    Running(watch::Receiver<()>),
    /// It has finished; the body of its answer.
    Done(Bytes),
    /// The key was used for a request with another body.
    Mismatch,
}

/// Requests by idempotency key. Cheap to clone; clones share the records.
#[derive(Clone, Debug, Default)]
pub struct IdempotencyCache(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    records: Map<RequestId, Record>,
    /// Finished requests, oldest first.
    recorded_order: VecDeque<RequestId>,
    /// Bytes of all recorded answers.
    bytes: usize,
}

#[derive(Debug)]
struct Record {
    /// Hash of the request body.
    body: Fingerprint,
    state: RunState,
}

#[derive(Debug)]
enum RunState {
    Running {
        /// Dropped when the request ends.
        ended: watch::Sender<()>,
        /// Set once a resend waits for the answer.
        joined: Arc<AtomicBool>,
    },
    /// Body of the recorded answer.
    Done(Bytes),
}

/// The exclusive right to run a request. Dropping it without an answer removes the request, so that
/// a resend runs it again.
#[derive(Debug)]
pub struct RunGuard {
    cache: IdempotencyCache,
    id: RequestId,
    joined: Arc<AtomicBool>,
    /// Whether the record is still to be removed on drop.
    unfinished: bool,
}

impl IdempotencyCache {
    /// Looks up a request and registers it as running if it is new.
    pub fn look_up(&self, id: &RequestId, body: Fingerprint) -> Lookup {
        let mut inner = self.inner();
        match inner.records.get(id) {
            Some(record) if record.body != body => Lookup::Mismatch,
            Some(record) => record.state.lookup(),
            None => {
                let joined = Arc::new(AtomicBool::new(false));
                let state = RunState::Running {
                    ended: watch::Sender::new(()),
                    joined: Arc::clone(&joined),
                };
                inner.records.insert(id.clone(), Record { body, state });
                Lookup::New(RunGuard {
                    cache: self.clone(),
                    id: id.clone(),
                    joined,
                    unfinished: true,
                })
            }
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunState {
    fn lookup(&self) -> Lookup {
        match self {
            Self::Running { ended, joined } => {
                joined.store(true, Ordering::Release);
                Lookup::Running(ended.subscribe())
            }
            Self::Done(answer) => Lookup::Done(answer.clone()),
        }
    }
}

impl RunGuard {
    /// Returns whether a resend waits, or has waited, for the answer.
    pub fn joined(&self) -> bool {
        self.joined.load(Ordering::Acquire)
    }

    /// Records the answer for resends, unless it is larger than [`MAX_RECORDED_BYTES`].
    pub fn finish(mut self, answer: Bytes) {
        if answer.len() > MAX_RECORDED_BYTES {
            return;
        }
        self.unfinished = false;
        let mut inner = self.cache.inner();
        inner.bytes += answer.len();
        if let Some(record) = inner.records.get_mut(&self.id) {
            record.state = RunState::Done(answer);
        }
        inner.recorded_order.push_back(self.id.clone());
        inner.evict();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.unfinished {
            self.cache.inner().records.remove(&self.id);
        }
    }
}

impl Inner {
    /// Removes the oldest answers until both bounds hold.
    fn evict(&mut self) {
        while self.bytes > MAX_TOTAL_BYTES || self.recorded_order.len() > MAX_ANSWERS {
            let Some(oldest) = self.recorded_order.pop_front() else {
                return;
            };
            if let Some(record) = self.records.remove(&oldest)
                && let RunState::Done(answer) = record.state
            {
                self.bytes -= answer.len();
            }
        }
    }
}
