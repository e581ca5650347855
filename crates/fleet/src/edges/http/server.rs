//! Server for callers and upstreams.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
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
use super::socket;

const CONNECTIONS: usize = 8_192;
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
const HEAD_BYTES: usize = 64 << 10;
const HEADERS: usize = 100;
/// The HTTP library takes no smaller buffer.
const LEAST_BUFFER_BYTES: usize = 8 << 10;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a server allows its callers, and how it ends.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Longest wait for the head of a request, from the end of the one before.
    pub wait: Duration,
    /// Longest wait for open requests once the server stops.
    pub close: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            head: HEAD_BYTES,
            wait: HEAD_TIMEOUT,
            close: CLOSE_TIMEOUT,
        }
    }
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// What is allowed now; asked for each new connection, and when the server stops.
    fn terms(&self) -> Terms {
        Terms::default()
    }

    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ReplyBody>> + Send;
}

/// Serves until `stop` is told, then closes idle connections and waits shortly for the others.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<impl Handler>,
    mut stop: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            _ = &mut stop => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file handles, for instance: the pause keeps the loop from spinning.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = connection(stream, Arc::clone(&handler));
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller's broken connection concerns nobody else.
            let _ = watched.await;
            drop(place);
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(handler.terms().close, graceful.shutdown()).await;
}

fn connection(
    stream: TcpStream,
    handler: Arc<impl Handler>,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send {
    socket::tune(&stream);
    let terms = handler.terms();
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(terms.wait)
        .max_buf_size(terms.head.max(LEAST_BUFFER_BYTES))
        .max_headers(HEADERS)
        .serve_connection(TokioIo::new(stream), service)
}
