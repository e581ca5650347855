//! Pool of connections to upstreams, kept open between requests.
//!
//! A connection carries one request at a time and belongs to one incarnation of an upstream, so
//! connections to an earlier incarnation are never reused. Only connections whose response was read
//! to its end return to the pool.

use std::hash::DefaultHasher;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::map::Map;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::edges::http::ended::EndedStarts;
use crate::edges::http::ended::is_refusal;
use crate::edges::http::interim::limit_interim;
use crate::edges::http::progress::Progress;
use crate::edges::http::shared::SharedStream;
use crate::edges::http::shared::StreamProbe;
use crate::edges::http::socket;
use crate::edges::http::traffic::Traffic;

/// Bound on the time to open a connection. It allows many round trips within a region. A full
/// listen queue drops the SYN, which is resent only after a second; another upstream is faster.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time after which a connection is closed, unless the upstream announces its own limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Margin by which a connection is closed before the idle limit that the upstream announces.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Bound on the idle connections to one incarnation of an upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 32;

/// Number of requests after which a connection is not kept, which bounds what it remembers.
const MAX_EXCHANGES: usize = 256;

/// Bound on the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Upstream incarnation that a pooled connection belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PoolKey {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Number of this start of the upstream.
    pub incarnation: u64,
}

/// Error of sending a request over a connection.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection was made, so no byte of the request was sent.
    #[error("no connection to {address}: {error}")]
    Unreachable {
        /// Address of the upstream.
        address: SocketAddr,
        /// Error of the connection attempt.
        error: std::io::Error,
    },
    /// A pooled connection was closed before any byte of the request was sent.
    #[error("a kept connection was closed")]
    Closed,
    /// The connection broke after the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The upstream sent too many interim answers.
    #[error("too many interim answers")]
    NoAnswer,
}

impl ExchangeError {
    /// Returns whether no connection was made in time.
    pub fn is_connect_timeout(&self) -> bool {
        matches!(self, Self::Unreachable { error, .. } if error.kind() == std::io::ErrorKind::TimedOut)
    }
}

/// An open connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    probe: StreamProbe,
    progress: Progress,
    key: PoolKey,
    /// Number of requests that were answered over this connection.
    pub exchanges: u32,
    /// Whether the last answer was tied to its request by the id. Without ids, no later answer could
    /// be tied, so the connection is not kept.
    pub has_ids: bool,
    /// Hashes of the ids of the requests that it was taken for.
    carried: Vec<u64>,
    /// Whether it is idle in the pool, so that its end is the doing of the upstream.
    is_idle: Arc<AtomicBool>,
}

/// An idle connection and the time until which it may be reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by upstream incarnation. Cheap to clone; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<Map<PoolKey, Vec<Idle>>>>,
    /// Starts of upstreams that have ended, as far as connections tell. The owner reads them.
    pub ended: EndedStarts,
    /// Counts the bytes of all connections.
    traffic: Traffic,
}

impl Pool {
    /// Creates an empty pool whose connections count their bytes in `traffic`.
    pub fn new(traffic: Traffic) -> Self {
        Self {
            traffic,
            ..Self::default()
        }
    }

    /// Returns an idle connection on which a left-over answer can be told from one to the request
    /// with the id `request`, as no other one with that id was sent over it. Opens one if there is
    /// none. A request without an id always gets a new one.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Unreachable`] if no connection is made.
    pub async fn connect(&self, key: PoolKey, request: &str) -> Result<Connection, ExchangeError> {
        let id = hash_id(request);
        let idle = match request {
            "" => None,
            _ => self.take_idle(key, id),
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.open_connection(key).await?,
        };
        connection.carried.push(id);
        Ok(connection)
    }

    /// Removes the most recently used idle connection that is still open and not expired, and that
    /// was not taken for a request with this id.
    fn take_idle(&self, key: PoolKey, id: u64) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.lock();
        let idle = all.get_mut(&key)?;
        idle.retain(|one| self.may_use(one, now));
        while let Some(found) = idle.iter().rposition(|one| one.connection.suits(id)) {
            let connection = idle.remove(found).connection;
            // What has arrived belongs to no request, and a closed connection loses one.
            connection.is_idle.store(false, Ordering::Release);
            if connection.probe.is_quiet() {
                return Some(connection);
            }
            self.ended.check(key);
        }
        None
    }

    /// Returns a connection to the pool once the response with these headers was read to its end.
    /// Closes it instead if the upstream asks for that or has closed it, repeats no ids, has a too
    /// short idle limit, or if the pool or the connection's memory of ids is full.
    pub fn keep(&self, mut connection: Connection, headers: &HeaderMap) {
        let is_full = connection.carried.len() >= MAX_EXCHANGES;
        if is_full
            || !connection.has_ids
            || requests_close(headers)
            || connection.sender.is_closed()
        {
            return;
        }
        let lifetime = idle_timeout(headers).saturating_sub(IDLE_MARGIN);
        if lifetime.is_zero() {
            return;
        }
        connection.exchanges = connection.exchanges.saturating_add(1);
        let expires = Instant::now() + lifetime;
        let mut all = self.lock();
        let idle = all.entry(connection.key).or_default();
        if idle.len() < MAX_IDLE_PER_UPSTREAM {
            connection.is_idle.store(true, Ordering::Release);
            idle.push(Idle {
                connection,
                expires,
            });
        }
    }

    /// Closes connections that were idle for too long. The owner calls it about once a second.
    pub fn expire(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|one| self.may_use(one, now));
            !idle.is_empty()
        });
    }

    /// Returns whether an idle connection is open and not expired. One that the upstream closed
    /// before that may be the trace of its end.
    fn may_use(&self, idle: &Idle, now: Instant) -> bool {
        let is_closed = idle.connection.sender.is_closed();
        if is_closed && now < idle.expires {
            self.ended.check(idle.connection.key);
        }
        !is_closed && now < idle.expires
    }

    /// Opens a connection, and watches it as long as it is open.
    async fn open_connection(&self, key: PoolKey) -> Result<Connection, ExchangeError> {
        let address = key.address;
        let unreachable = |error| ExchangeError::Unreachable { address, error };
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let connected = match connecting.await {
            Ok(connected) => connected,
            Err(_) => return Err(unreachable(std::io::ErrorKind::TimedOut.into())),
        };
        let stream = connected.map_err(|error| {
            if is_refusal(&error) {
                self.ended.record(key);
            }
            unreachable(error)
        })?;
        socket::set_options(&stream);
        let progress = Progress::default();
        let (stream, probe) = SharedStream::new(stream, progress.clone(), self.traffic.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) =
            handshake.map_err(|error| unreachable(std::io::Error::other(error)))?;
        let is_idle = Arc::new(AtomicBool::new(false));
        let watched = Arc::clone(&is_idle);
        let ended = self.ended.clone();
        tokio::spawn(async move {
            // The request that waits for a response gets the error. Without one, nobody needs it.
            let _ = connection.await;
            if watched.load(Ordering::Acquire) {
                ended.check(key);
            }
        });
        Ok(Connection {
            sender,
            probe,
            progress,
            key,
            exchanges: 0,
            has_ids: false,
            carried: Vec::new(),
            is_idle,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Map<PoolKey, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.is_idle.store(false, Ordering::Release);
    }
}

impl Connection {
    /// Returns whether a request with this id can be sent now, and the connection was not taken for
    /// one with the same id.
    fn suits(&self, id: u64) -> bool {
        self.sender.is_ready() && !self.carried.contains(&id)
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Closed`] if nothing was sent, [`ExchangeError::Broken`] or
    /// [`ExchangeError::NoAnswer`] if the request may have been sent.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let too_many = limit_interim(&mut request);
        let sent = tokio::select! {
            biased;
            () = too_many => return Err(ExchangeError::NoAnswer),
            sent = self.sender.try_send_request(request) => sent,
        };
        let mut response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::Closed,
            None => ExchangeError::Broken(error.into_error()),
        })?;
        self.progress.record();
        response.extensions_mut().insert(self.progress.clone());
        Ok(response)
    }
}

fn hash_id(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(id.as_bytes());
    hasher.finish()
}

/// Returns whether the `Connection` header asks to close the connection after this response.
fn requests_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut texts = values.filter_map(|value| value.to_str().ok());
    texts.any(|value| {
        value
            .split(',')
            .any(|word| word.trim().eq_ignore_ascii_case("close"))
    })
}

/// Returns how long the upstream keeps an idle connection, from its `Keep-Alive` header.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let value = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| {
        value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs)
}
