//! HTTP client for upstreams, with pooled connections for calls that may be repeated.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use thiserror::Error;

use crate::edges::http::counted::CountingConnector;
use crate::edges::http::counted::PendingAnswer;
use crate::edges::http::interim::limit_interim;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bound on the idle connections that are kept to one address.
const MAX_IDLE_PER_UPSTREAM: usize = 256;
/// Bound on the read buffer of a connection, and so on the head of a response.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Error of a call to an upstream.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection was made, so no byte of the request was sent.
    #[error("no connection")]
    Unreachable,
    /// The connection broke, or gave no answer, after the request may have been sent.
    #[error("the connection broke")]
    Broken,
    /// The head of the response did not arrive in time.
    #[error("no answer in time")]
    TimedOut,
    /// The request could not be built; nothing was sent.
    #[error("malformed request: {0}")]
    Malformed(#[from] http::Error),
}

/// Request to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers other than those that HTTP itself needs.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

/// HTTP client for upstreams. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    /// Reuses connections, and resends a request whose connection closed before it was sent.
    pooled: Client<CountingConnector, Full<Bytes>>,
    /// Opens a connection for each request and never resends one.
    unpooled: Client<CountingConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self {
            pooled: build_client(MAX_IDLE_PER_UPSTREAM),
            unpooled: build_client(0),
        }
    }

    /// Sends a call that may be repeated over a pooled connection. `timeout` bounds the wait for
    /// the head of the response.
    ///
    /// # Errors
    ///
    /// See [`SendError`].
    pub async fn send(
        &self,
        call: Call,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        exchange(&self.pooled, call, timeout).await
    }

    /// Sends a call that must not be repeated over a connection of its own. A pooled connection may
    /// be closing, and then it is unknown whether the call arrived. `timeout` bounds the wait for
    /// the head of the response.
    ///
    /// # Errors
    ///
    /// See [`SendError`]. Only [`SendError::Unreachable`] and [`SendError::Malformed`] guarantee
    /// that nothing was sent.
    pub async fn send_once(
        &self,
        call: Call,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        exchange(&self.unpooled, call, timeout).await
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Builds a client that keeps at most `max_idle` idle connections to one address. With 0 it never
/// resends a request.
fn build_client(max_idle: usize) -> Client<CountingConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .retry_canceled_requests(max_idle > 0)
        .http1_max_buf_size(MAX_BUFFER_BYTES)
        .build(CountingConnector(connector))
}

async fn exchange(
    client: &Client<CountingConnector, Full<Bytes>>,
    call: Call,
    timeout: Duration,
) -> Result<Response<Incoming>, SendError> {
    let mut request = build_request(call)?;
    let pending = PendingAnswer::of(&mut request);
    let too_many = limit_interim(&mut request);
    let sending = tokio::time::timeout(timeout, client.request(request));
    let sent = tokio::select! {
        biased;
        () = too_many => return Err(SendError::Broken),
        sent = sending => sent,
    };
    match sent {
        Ok(Ok(mut response)) => {
            pending.complete(&mut response);
            Ok(response)
        }
        Ok(Err(error)) if error.is_connect() => Err(SendError::Unreachable),
        Ok(Err(_)) => Err(SendError::Broken),
        Err(_) => Err(SendError::TimedOut),
    }
}

fn build_request(call: Call) -> Result<Request<Full<Bytes>>, http::Error> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(call.address.to_string())
        .path_and_query(call.path)
        .build()?;
    let mut request = Request::builder()
        .method(call.method)
        .uri(uri)
        .body(Full::new(call.body))?;
    *request.headers_mut() = call.headers;
    Ok(request)
}
