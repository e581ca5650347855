//! Connections of callers that wait for a request, in the order in which they began to wait.
//!
//! Answers crowds of callers that open connections and send nothing, or stop inside a head.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::Notify;

/// Connections without a request. Cheap to clone; clones share them.
#[derive(Clone, Debug, Default)]
pub struct WaitingConnections(Arc<Mutex<Queue>>);

#[derive(Debug, Default)]
struct Queue {
    next: u64,
    places: BTreeMap<u64, Arc<Notify>>,
}

/// Place of a connection, which leaves the queue once this is dropped.
#[derive(Debug)]
pub struct Place(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    queue: WaitingConnections,
    closing: Arc<Notify>,
    number: Mutex<Option<u64>>,
    has_served: AtomicBool,
}

/// A request in progress. The connection waits again once this is dropped.
#[derive(Debug)]
pub struct Busy(Arc<Shared>);

/// Body of a response, during which its connection does not wait.
#[derive(Debug)]
pub struct BusyBody<B> {
    body: B,
    _busy: Busy,
}

impl WaitingConnections {
    /// Adds a connection that waits for its first request.
    pub fn add(&self) -> Place {
        let shared = Shared {
            queue: self.clone(),
            closing: Arc::default(),
            number: Mutex::default(),
            has_served: AtomicBool::new(false),
        };
        shared.enter();
        Place(Arc::new(shared))
    }

    /// Closes the connection that has waited longest. Returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        let oldest = lock(&self.0).places.pop_first();
        let closed = oldest.map(|(_, closing)| closing.notify_one());
        closed.is_some()
    }
}

impl Place {
    /// Resolves once the connection is to be closed.
    pub async fn closing(&self) {
        self.0.closing.notified().await;
    }

    /// Returns whether a request has begun on the connection.
    pub fn has_served(&self) -> bool {
        self.0.has_served.load(Ordering::Relaxed)
    }

    /// Takes the connection out of the queue while a request is in progress.
    pub fn start_request(&self) -> Busy {
        self.0.has_served.store(true, Ordering::Relaxed);
        self.0.leave();
        Busy(Arc::clone(&self.0))
    }
}

impl Shared {
    fn enter(&self) {
        let mut queue = lock(&self.queue.0);
        let number = queue.next;
        queue.next += 1;
        queue.places.insert(number, Arc::clone(&self.closing));
        *lock(&self.number) = Some(number);
    }

    fn leave(&self) {
        if let Some(number) = lock(&self.number).take() {
            lock(&self.queue.0).places.remove(&number);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.leave();
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.enter();
    }
}

impl Busy {
    /// Keeps the connection busy until the body is sent.
    pub fn attach<B>(self, body: B) -> BusyBody<B> {
        BusyBody { body, _busy: self }
    }
}

impl<B: Body + Unpin> Body for BusyBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
