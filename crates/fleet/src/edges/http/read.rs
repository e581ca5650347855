//! Reads HTTP bodies with bounds on bytes and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error;

use crate::edges::http::memory::NoRoom;
use crate::edges::http::memory::RequestMemory;

/// Bound on the bytes of an oversized body that are read and discarded before it is refused.
const MAX_DISCARD_BYTES: usize = 16 << 20;
/// Longest time that a body is discarded beside its refusal: time for the caller to read it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of reading a body.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The body is larger than this bound, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive within this time.
    #[error("the body did not arrive within {0:?}")]
    TimedOut(Duration),
    /// The bodies of requests take all the memory that they may.
    #[error("no memory for the body")]
    NoRoom,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a complete body of at most `max_bytes` bytes, which counts in `memory` until all copies are
/// dropped. `timeout` bounds the whole read.
///
/// # Errors
///
/// See [`ReadError`].
pub async fn read_bounded(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    memory: &RequestMemory,
) -> Result<Bytes, ReadError> {
    let read = async {
        if body.size_hint().lower() > max_bytes as u64 {
            discard(body).await;
            return Err(ReadError::TooLarge(max_bytes));
        }
        collect(body, max_bytes, memory).await
    };
    tokio::time::timeout(timeout, read)
        .await
        .unwrap_or(Err(ReadError::TimedOut(timeout)))
}

/// Reads and discards the body of a request that is answered without it, in a task of its own and
/// for at most `timeout`.
pub fn drop_unread(body: Incoming, timeout: Duration) {
    if !body.is_end_stream() {
        // What is left after the time is given up with the connection.
        tokio::spawn(async move { tokio::time::timeout(timeout, discard(body)).await });
    }
}

/// Reads and discards the rest of a body. Closing a connection while the peer still sends resets
/// it, and the peer would lose the response.
async fn discard(mut body: Incoming) {
    let mut remaining = MAX_DISCARD_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        if size > remaining {
            return;
        }
        remaining -= size;
    }
}

/// Discards the rest of a body for a short time, beside the response.
fn discard_beside(body: Incoming) {
    tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, discard(body)));
}

/// Reads a complete body of at most `max_bytes` bytes, without a bound on time.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    memory: &RequestMemory,
) -> Result<Bytes, ReadError> {
    let announced = body.size_hint().upper();
    let most = announced.map_or(max_bytes, |size| max_bytes.min(size as usize));
    let held = memory.begin();
    let mut size = 0;
    loop {
        let frame = tokio::select! {
            biased;
            () = held.ended() => return Err(ReadError::NoRoom),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        size += data.len();
        if size > max_bytes {
            drop(held);
            discard(body).await;
            return Err(ReadError::TooLarge(max_bytes));
        }
        if held.append(&data, most).is_err() {
            discard_beside(body);
            return Err(ReadError::NoRoom);
        }
    }
    held.complete().map_err(|NoRoom| ReadError::NoRoom)
}
