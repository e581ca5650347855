//! Reads a body within a bound on bytes and time.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error;

/// Most bytes of a body that is too large that are read before it is refused.
const DISCARD_BYTES: usize = 16 << 20;

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// It is larger than the bound, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// It did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    Slow(Duration),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
///
/// See [`ReadError`].
pub async fn read_bounded(
    body: Incoming,
    most: usize,
    within: Duration,
) -> Result<Bytes, ReadError> {
    let read = async {
        if body.size_hint().lower() > most as u64 {
            discard(body).await;
            return Err(ReadError::TooLarge(most));
        }
        collect(body, most).await
    };
    tokio::time::timeout(within, read)
        .await
        .unwrap_or(Err(ReadError::Slow(within)))
}

/// Reads on without keeping anything: a connection that is closed while the other side sends is
/// reset, and the answer is lost with it.
async fn discard(mut body: Incoming) {
    let mut left = DISCARD_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        if size > left {
            return;
        }
        left -= size;
    }
}

async fn collect(mut body: Incoming, most: usize) -> Result<Bytes, ReadError> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if all.len() + data.len() > most {
            drop(all);
            discard(body).await;
            return Err(ReadError::TooLarge(most));
        }
        if all.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}
