//! Connections of other processes to an RPC server, bounded in number.
//!
//! At the bound, the connection from which nothing has come for longest gives way to a new one. Nodes
//! that are in use send something all the time, and connect again when they are closed.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_util::stream;
use futures_util::stream::Stream;
use futures_util::task::AtomicWaker;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tonic::transport::server::Connected;
use tonic::transport::server::TcpConnectInfo;

/// Time between two connections that are closed to make room for a new one.
const MAKE_ROOM_PERIOD: Duration = Duration::from_millis(10);
/// Delay before the next attempt after a failed accept, such as for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Returns the connections to a listener, of which at most `limit` are open at the same time.
pub fn accept_nodes(
    listener: TcpListener,
    limit: usize,
) -> impl Stream<Item = io::Result<NodeStream>> + Send {
    let acceptor = Acceptor {
        listener,
        slots: Arc::new(Semaphore::new(limit.max(1))),
        activity: Activity::default(),
    };
    stream::unfold(acceptor, async |acceptor| {
        let stream = acceptor.accept().await;
        Some((Ok(stream), acceptor))
    })
}

struct Acceptor {
    listener: TcpListener,
    /// One permit for each connection that may be opened.
    slots: Arc<Semaphore>,
    activity: Activity,
}

impl Acceptor {
    async fn accept(&self) -> NodeStream {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if let Some(slot) = self.make_room().await {
                return NodeStream::new(stream, slot, self.activity.clone());
            }
        }
    }

    /// Takes a slot for a new connection; `None` can't occur, as the slots are never closed.
    async fn make_room(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.slots.available_permits() == 0 {
                self.activity.close_quietest();
            }
            let acquiring = Arc::clone(&self.slots).acquire_owned();
            if let Ok(slot) = timeout(MAKE_ROOM_PERIOD, acquiring).await {
                return slot.ok();
            }
        }
    }
}

/// Open connections in the order in which something last came over them. Cheap to clone; clones share
/// it.
#[derive(Clone, Debug, Default)]
struct Activity(Arc<Mutex<Order>>);

#[derive(Debug, Default)]
struct Order {
    next: u64,
    connections: BTreeMap<u64, Arc<Closing>>,
}

/// Tells a connection that it has to close.
#[derive(Debug, Default)]
struct Closing {
    is_due: AtomicBool,
    reader: AtomicWaker,
}

impl Activity {
    /// Puts a connection last and returns its place.
    fn enter(&self, closing: &Arc<Closing>) -> u64 {
        let mut order = self.lock();
        let place = order.next;
        order.next += 1;
        order.connections.insert(place, Arc::clone(closing));
        place
    }

    fn leave(&self, place: u64) {
        self.lock().connections.remove(&place);
    }

    /// Closes the connection from which nothing has come for longest.
    fn close_quietest(&self) {
        let quietest = self.lock().connections.pop_first();
        if let Some((_, closing)) = quietest {
            closing.is_due.store(true, Ordering::Release);
            closing.reader.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Order> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connection of another process.
#[derive(Debug)]
pub struct NodeStream {
    stream: TcpStream,
    activity: Activity,
    closing: Arc<Closing>,
    place: u64,
    _slot: OwnedSemaphorePermit,
}

impl NodeStream {
    fn new(stream: TcpStream, slot: OwnedSemaphorePermit, activity: Activity) -> Self {
        let closing = Arc::default();
        let place = activity.enter(&closing);
        Self {
            stream,
            activity,
            closing,
            place,
            _slot: slot,
        }
    }
}

impl Connected for NodeStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl Drop for NodeStream {
    fn drop(&mut self) {
        self.activity.leave(self.place);
    }
}

impl AsyncRead for NodeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.closing.reader.register(context.waker());
        if self.closing.is_due.load(Ordering::Acquire) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.leave(self.place);
            self.place = self.activity.enter(&self.closing);
        }
        read
    }
}

impl AsyncWrite for NodeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
