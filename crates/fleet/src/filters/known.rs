//! Requests that this router runs or ran lately, by their key.
//!
//! A resend joins the running attempt, or gets the recorded answer while memory allows. Both the
//! number and the bytes of recorded answers are bounded; the oldest go first.

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

const ANSWERS: usize = 4_096;
const TOTAL_BYTES: usize = 4 << 20;

/// Largest answer that is recorded, in bytes.
pub const ANSWER_BYTES: usize = 64 << 10;

/// What is known of a request.
#[derive(Debug)]
pub enum Entry {
    /// Nothing: the caller runs it.
    First(Lease),
    /// It runs; the receiver fails when it has ended.
    Running(watch::Receiver<()>),
    /// It ran, and this was the answer's body.
    Done(Bytes),
    /// The key was used with another body.
    Mismatch,
}

/// The known requests. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Known(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    rows: Map<RequestId, Row>,
    order: VecDeque<RequestId>,
    bytes: usize,
}

#[derive(Debug)]
struct Row {
    body: Fingerprint,
    state: State,
}

#[derive(Debug)]
enum State {
    Running {
        ended: watch::Sender<()>,
        joined: Arc<AtomicBool>,
    },
    Done(Bytes),
}

/// The right to run a request. Dropping it without an answer forgets the request.
#[derive(Debug)]
pub struct Lease {
    known: Known,
    id: RequestId,
    joined: Arc<AtomicBool>,
    open: bool,
}

impl Known {
    /// Looks a request up, and registers it as running if it is new.
    pub fn enter(&self, id: &RequestId, body: Fingerprint) -> Entry {
        let mut inner = self.inner();
        match inner.rows.get(id) {
            Some(row) if row.body != body => Entry::Mismatch,
            Some(row) => row.state.entry(),
            None => {
                let joined = Arc::new(AtomicBool::new(false));
                let state = State::Running {
                    ended: watch::Sender::new(()),
                    joined: Arc::clone(&joined),
                };
                inner.rows.insert(id.clone(), Row { body, state });
                Entry::First(Lease {
                    known: self.clone(),
                    id: id.clone(),
                    joined,
                    open: true,
                })
            }
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn entry(&self) -> Entry {
        match self {
            Self::Running { ended, joined } => {
                joined.store(true, Ordering::Release);
                Entry::Running(ended.subscribe())
            }
            Self::Done(answer) => Entry::Done(answer.clone()),
        }
    }
}

impl Lease {
    /// Whether a resend waits for the answer.
    pub fn joined(&self) -> bool {
        self.joined.load(Ordering::Acquire)
    }

    /// Records the answer.
    pub fn finish(mut self, answer: Bytes) {
        if answer.len() > ANSWER_BYTES {
            return;
        }
        self.open = false;
        let mut inner = self.known.inner();
        inner.bytes += answer.len();
        if let Some(row) = inner.rows.get_mut(&self.id) {
            row.state = State::Done(answer);
        }
        inner.order.push_back(self.id.clone());
        inner.shrink();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.open {
            self.known.inner().rows.remove(&self.id);
        }
    }
}

impl Inner {
    fn shrink(&mut self) {
        while self.bytes > TOTAL_BYTES || self.order.len() > ANSWERS {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(row) = self.rows.remove(&oldest)
                && let State::Done(answer) = row.state
            {
                self.bytes -= answer.len();
            }
        }
    }
}
