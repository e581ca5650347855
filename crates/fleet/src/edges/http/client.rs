//! Client towards upstreams, with a pool of connections for calls that may be repeated.

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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const IDLE_CONNECTIONS: usize = 256;
const BUFFER_BYTES: usize = 64 << 10;

/// Why an upstream gave no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection was made: no byte of the request left.
    #[error("no connection")]
    Unreachable,
    /// The connection broke after the request may have been sent.
    #[error("the connection broke")]
    Broken,
    /// The head of the answer did not come in time.
    #[error("no answer in time")]
    Late,
    /// The request could not be formed; nothing was sent.
    #[error("malformed request: {0}")]
    Malformed(#[from] http::Error),
}

/// What is sent to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where to.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers besides those that HTTP itself needs.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client towards upstreams. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    single: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client without connections yet.
    pub fn new() -> Self {
        Self {
            pooled: build(IDLE_CONNECTIONS),
            single: build(0),
        }
    }

    /// Sends a call that may be repeated, over a pooled connection.
    ///
    /// # Errors
    ///
    /// See [`SendError`].
    pub async fn send(
        &self,
        call: Call,
        within: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        exchange(&self.pooled, call, within).await
    }

    /// Sends a call that may not be repeated, over a connection of its own: a pooled one may be
    /// closing, and then it is unclear whether the call arrived.
    ///
    /// # Errors
    ///
    /// See [`SendError`]. Only [`SendError::Unreachable`] and [`SendError::Malformed`] say that
    /// nothing was sent.
    pub async fn send_once(
        &self,
        call: Call,
        within: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        exchange(&self.single, call, within).await
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

fn build(idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .retry_canceled_requests(idle > 0)
        .http1_max_buf_size(BUFFER_BYTES)
        .build(connector)
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    call: Call,
    within: Duration,
) -> Result<Response<Incoming>, SendError> {
    let request = form(call)?;
    match tokio::time::timeout(within, client.request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if error.is_connect() => Err(SendError::Unreachable),
        Ok(Err(_)) => Err(SendError::Broken),
        Err(_) => Err(SendError::Late),
    }
}

fn form(call: Call) -> Result<Request<Full<Bytes>>, http::Error> {
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
