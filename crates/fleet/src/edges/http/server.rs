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

const CONNECTIONS: usize = 8_192;
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
const HEAD_BYTES: usize = 64 << 10;
const HEADERS: usize = 100;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
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
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await;
}

fn connection(
    stream: TcpStream,
    handler: Arc<impl Handler>,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send {
    // Without it small events wait for acknowledgements; a failure costs only latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES)
        .max_headers(HEADERS)
        .serve_connection(TokioIo::new(stream), service)
}
