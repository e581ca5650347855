//! HTTP server for callers and upstreams.

use std::convert::Infallible;
use std::future::Future;
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
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use super::ReplyBody;
use super::caller::CallerStream;
use super::socket;

/// Bound on open connections. At the bound, new ones wait in the listen queue.
const MAX_CONNECTIONS: usize = 8_192;
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_HEAD_BYTES: usize = 64 << 10;
/// Bound on the headers of one request.
const MAX_HEADERS: usize = 100;
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Delay before the next attempt after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const DEFAULT_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

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
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            close_timeout: DEFAULT_CLOSE_TIMEOUT,
        }
    }
}

/// Application that answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the current limits. Called for each new connection, and once when the server stops.
    fn server_limits(&self) -> ServerLimits {
        ServerLimits::default()
    }

    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ReplyBody>> + Send;
}

/// Serves until `stop` fires or its sender is dropped. Then it closes idle connections and waits
/// for the open requests, for at most [`ServerLimits::close_timeout`].
pub async fn serve(
    listener: TcpListener,
    handler: Arc<impl Handler>,
    mut stop: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            _ = &mut stop => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // The process may be out of file descriptors. The delay keeps the loop from spinning.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let connection = connection(stream, Arc::clone(&handler));
        let guarded = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection affects only its own caller.
            let _ = guarded.await;
            drop(slot);
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(handler.server_limits().close_timeout, graceful.shutdown()).await;
}

/// Serves the requests of one connection.
fn connection(
    stream: TcpStream,
    handler: Arc<impl Handler>,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send {
    socket::set_options(&stream);
    let limits = handler.server_limits();
    let (stream, reset) = CallerStream::new(stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        if request.version() < Version::HTTP_11 {
            reset.turn_on();
        }
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service)
}
