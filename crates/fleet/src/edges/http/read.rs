//! Reads a body within a bound on bytes and time.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error;

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
    if body.size_hint().lower() > most as u64 {
        return Err(ReadError::TooLarge(most));
    }
    tokio::time::timeout(within, collect(body, most))
        .await
        .unwrap_or(Err(ReadError::Slow(within)))
}

async fn collect(mut body: Incoming, most: usize) -> Result<Bytes, ReadError> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if all.len() + data.len() > most {
            return Err(ReadError::TooLarge(most));
        }
        if all.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}
