//! Connections to upstreams that are kept open between requests.
//!
//! A connection carries one request at a time and belongs to one start of an upstream: after another
//! start nothing of the old one is used. What is returned to the pool was read to its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
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

use crate::edges::http::socket;

/// Longest wait for a connection: many round trips within a region. A full listen queue drops the
/// opening packet, and its resend comes after a second; another upstream is sooner.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// How long an idle connection is kept if the upstream says nothing of it.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Margin before the end of the time that the upstream gives.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Most idle connections to one upstream.
const IDLE_MOST: usize = 32;

/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 << 10;

/// Which connections may be used for a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Place {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Which start of it.
    pub start: u64,
}

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection was made: no byte of the request left.
    #[error("no connection to {address}: {reason}")]
    Unreachable {
        /// The upstream.
        address: SocketAddr,
        /// What the system said.
        reason: std::io::Error,
    },
    /// A kept connection was closed before any byte of the request left.
    #[error("a kept connection was closed")]
    Closed,
    /// The connection broke after the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    place: Place,
    /// Whether it carried a request before.
    pub used: bool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections. Cheap to clone; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<Map<Place, Vec<Idle>>>>,
}

impl Pool {
    /// A kept connection, if there is one, or else a new one.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Unreachable`].
    pub async fn connect(&self, place: Place) -> Result<Connection, ExchangeError> {
        match self.take(place) {
            Some(connection) => Ok(connection),
            None => open(place).await,
        }
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Unreachable`].
    pub async fn fresh(&self, place: Place) -> Result<Connection, ExchangeError> {
        open(place).await
    }

    fn take(&self, place: Place) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.lock();
        let idle = all.get_mut(&place)?;
        while let Some(last) = idle.pop() {
            if now < last.until && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer, with these headers, was read to its end.
    pub fn keep(&self, mut connection: Connection, headers: &HeaderMap) {
        if closes(headers) || connection.sender.is_closed() {
            return;
        }
        let stay = idle_time(headers).saturating_sub(IDLE_MARGIN);
        if stay.is_zero() {
            return;
        }
        connection.used = true;
        let until = Instant::now() + stay;
        let mut all = self.lock();
        let idle = all.entry(connection.place).or_default();
        if idle.len() < IDLE_MOST {
            idle.push(Idle { connection, until });
        }
    }

    /// Closes what is past its time; to be called about every second.
    pub fn expire(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|one| now < one.until && !one.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, Map<Place, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Closed`] if nothing was sent, [`ExchangeError::Broken`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::Closed,
            None => ExchangeError::Broken(error.into_error()),
        })
    }
}

async fn open(place: Place) -> Result<Connection, ExchangeError> {
    let address = place.address;
    let unreachable = |reason| ExchangeError::Unreachable { address, reason };
    let connecting = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(stream) => stream.map_err(unreachable)?,
        Err(_) => return Err(unreachable(std::io::ErrorKind::TimedOut.into())),
    };
    socket::tune(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) =
        handshake.map_err(|error| unreachable(std::io::Error::other(error)))?;
    tokio::spawn(async move {
        // Whoever waits for an answer sees the error; without anyone, there is nothing to say.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        place,
        used: false,
    })
}

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut words = values.filter_map(|value| value.to_str().ok());
    words.any(|value| {
        value
            .split(',')
            .any(|word| word.trim().eq_ignore_ascii_case("close"))
    })
}

/// How long the upstream keeps an idle connection.
fn idle_time(headers: &HeaderMap) -> Duration {
    let value = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| {
        value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    seconds.map_or(IDLE_TIME, Duration::from_secs)
}
