//! HTTP server for callers and upstreams.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::AcquireError;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;

use super::ReplyBody;
use super::caller::CallerStream;
use super::socket;
use super::traffic::Traffic;
use super::waiting::WaitingConnections;

const DEFAULT_CONNECTIONS: usize = 8_192;
/// Time between two connections that are closed to make room for a new one.
const MAKE_ROOM_PERIOD: Duration = Duration::from_millis(10);
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Limit on heads up to which a connection takes one place. The read buffer grows up to the limit.
const HEAD_BYTES_PER_PLACE: usize = 16 << 10;
/// Bound on the headers of one request.
const MAX_HEADERS: usize = 100;
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Delay before the next attempt after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const DEFAULT_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Bound on the connections that are taken from the listen queue when the server stops. A queue is
/// shorter, but new connections may arrive meanwhile.
const MAX_QUEUED: usize = 2_048;
/// Longest wait for the first request of a connection when the server stops: many round trips, and
/// the time in which a busy host wakes a caller.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Bound on the head of a request, in bytes.
    pub head_bytes: usize,
    /// Bound on the time until the head of a request is read, counted from the end of the previous
    /// request.
    pub head_timeout: Duration,
    /// Bound on the wait for open requests when the server stops.
    pub close_timeout: Duration,
    /// Bound on open connections. At the bound, those that wait for a request give way to new ones. A
    /// connection takes several places if its limit on heads is larger than usual.
    pub connections: usize,
}

impl ServerLimits {
    /// Returns the number of places that a connection takes.
    fn places(&self) -> u32 {
        let places = self.head_bytes.div_ceil(HEAD_BYTES_PER_PLACE).max(1);
        let places = places.min(self.connections.max(1));
        u32::try_from(places).unwrap_or(u32::MAX)
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            close_timeout: DEFAULT_CLOSE_TIMEOUT,
            connections: DEFAULT_CONNECTIONS,
        }
    }
}

/// Application that answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the current limits. Called for each new connection, and once when the server stops.
    fn server_limits(&self) -> ServerLimits {
        ServerLimits::default()
    }

    /// Ends the request whose body has been on its way longest. Returns whether there was one.
    fn end_oldest_body(&self) -> bool {
        false
    }

    /// Returns the counter for the bytes of all connections.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }

    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ReplyBody>> + Send;
}

/// Serves until `stop` fires or its sender is dropped. Then it takes the connections that wait in the
/// listen queue, closes idle connections and waits for the open requests, for at most
/// [`ServerLimits::close_timeout`].
pub async fn serve(
    listener: TcpListener,
    handler: Arc<impl Handler>,
    mut stop: oneshot::Receiver<()>,
) {
    let limit = handler.server_limits().connections;
    let limit = u32::try_from(limit).unwrap_or(u32::MAX);
    let slots = Arc::new(Semaphore::new(limit as usize));
    let waiting = WaitingConnections::default();
    let stopping = watch::Sender::new(false);
    let start = |stream: TcpStream, slot: OwnedSemaphorePermit| {
        let (handler, waiting) = (Arc::clone(&handler), waiting.clone());
        let connection = run_connection(stream, handler, waiting, stopping.subscribe());
        tokio::spawn(async move {
            connection.await;
            drop(slot);
        });
    };
    let mut pending = None;
    loop {
        let accepting = async {
            if pending.is_none() {
                pending = Some(listener.accept().await);
            }
            let places = handler.server_limits().places().min(limit);
            make_room(&slots, places, &waiting, &*handler).await
        };
        let slot = tokio::select! {
            _ = &mut stop => break,
            slot = accepting => slot,
        };
        match (slot, pending.take()) {
            (Ok(slot), Some(Ok((stream, _)))) => start(stream, slot),
            // The process may be out of file descriptors. The delay keeps the loop from spinning.
            _ => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    let pending = pending.and_then(Result::ok).map(|(stream, _)| stream);
    let places = handler.server_limits().places().min(limit);
    for stream in pending.into_iter().chain(accept_queued(listener)) {
        match Arc::clone(&slots).try_acquire_many_owned(places) {
            Ok(slot) => start(stream, slot),
            Err(_) => break,
        }
    }
    stopping.send_replace(true);
    // All slots are free once all connections have ended.
    let ended = slots.acquire_many(limit);
    if timeout(handler.server_limits().close_timeout, ended)
        .await
        .is_err()
    {
        log::warn!("connections are still open after the grace time");
    }
}

/// Takes places for a new connection. Without enough free ones, connections are closed one after the other:
/// those that wait for a request, longest first, then those whose body is on its way.
async fn make_room(
    slots: &Arc<Semaphore>,
    places: u32,
    waiting: &WaitingConnections,
    handler: &impl Handler,
) -> Result<OwnedSemaphorePermit, AcquireError> {
    loop {
        if slots.available_permits() < places as usize {
            let reason = match waiting.close_oldest() {
                true => "waits_for_request",
                false if handler.end_oldest_body() => "sends_body",
                false => "none",
            };
            log::debug!(closed = reason; "connection limit reached");
        }
        let acquiring = Arc::clone(slots).acquire_many_owned(places);
        if let Ok(slot) = timeout(MAKE_ROOM_PERIOD, acquiring).await {
            return slot;
        }
    }
}

/// Accepts the connections that wait in the listen queue, and closes the listener. Closing it first
/// would reset them, although their callers may have sent requests.
fn accept_queued(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return streams;
    };
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            streams.push(stream);
        }
        if streams.len() >= MAX_QUEUED {
            break;
        }
    }
    streams
}

/// Serves the requests of one connection until it ends. When the server stops, an idle connection is
/// closed, but one that is new gets time for its first request.
async fn run_connection(
    stream: TcpStream,
    handler: Arc<impl Handler>,
    waiting: WaitingConnections,
    mut stopping: watch::Receiver<bool>,
) {
    socket::set_options(&stream);
    let limits = handler.server_limits();
    let (stream, reset) = CallerStream::new(stream, handler.traffic());
    let began = Notify::new();
    let place = waiting.add();
    let service = service_fn(|request: Request<Incoming>| {
        began.notify_one();
        if request.version() < Version::HTTP_11 {
            reset.turn_on();
        }
        let handler = Arc::clone(&handler);
        let busy = place.start_request();
        async move {
            let response = handler.handle(request).await;
            Ok::<_, Infallible>(response.map(|body| busy.attach(body)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A broken connection affects only its own caller, so its error is left out below.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = stopping.wait_for(|stopping| *stopping) => {}
        () = place.closing() => match place.has_served() {
            true => connection.as_mut().graceful_shutdown(),
            false => return,
        },
    }
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = timeout(FIRST_REQUEST_TIMEOUT, began.notified()) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
