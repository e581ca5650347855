//! Reads the body of an upstream's answer and decides whether it is complete.
//!
//! A length or a last chunk proves that a body is complete, and the HTTP library reports one that
//! ends before. A body with neither ends with its connection, where a crash can look like the end; it is
//! not complete if the request was still being written.
//! A stream of events is complete only if it ends between two events, whatever its framing, as an
//! upstream may also end the chunks of an answer that it has broken off.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Response;
use http::header;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use crate::edges::http::Framing;
use crate::edges::http::events::EventSplitter;
use crate::edges::http::events::EventTooLong;
use crate::edges::http::memory::AnswerMemory;
use crate::edges::http::progress::Progress;

/// Longest body, in bytes. Upstreams may send bytes without end.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Bound on the bytes that are read and discarded so that a connection can be reused. Opening
/// another one is cheaper than reading more.
const MAX_DRAIN_BYTES: usize = 64 << 10;

/// Why the body of an answer is not complete, or is not read further.
#[derive(Debug, Error)]
pub enum AnswerFault {
    /// The connection broke, or was closed before the announced end of the body.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The connection ended before the request was written to its end.
    #[error("the connection ended before the whole request was written")]
    RequestCut,
    /// The stream ended inside an event.
    #[error("the stream ended {0} bytes into an event")]
    InsideEvent(usize),
    /// The stream ended with its connection before its first event.
    #[error("the stream ended without an event")]
    NoEvent,
    /// An event is too long.
    #[error(transparent)]
    EventTooLong(#[from] EventTooLong),
    /// The body is larger than this bound, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// More than this number of bytes arrived without a part of the body.
    #[error("more than {0} bytes arrived without a part of the body")]
    NoContent(usize),
    /// The body did not arrive within this time.
    #[error("the body did not arrive within {0:?}")]
    TimedOut(Duration),
}

impl AnswerFault {
    /// Returns the name of the fault in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Broken(_) => "broken",
            Self::RequestCut => "request_cut",
            Self::InsideEvent(_) => "inside_event",
            Self::NoEvent => "no_event",
            Self::EventTooLong(_) => "event_too_long",
            Self::TooLarge(_) => "too_large",
            Self::NoContent(_) => "no_content",
            Self::TimedOut(_) => "timed_out",
        }
    }
}

/// What a body consists of.
#[derive(Debug)]
enum Content {
    /// Bytes without a structure that is known here.
    Opaque,
    /// Server-sent events.
    Events(EventSplitter),
}

/// Body of an upstream's answer.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    framing: Framing,
    content: Content,
    /// Number of bytes that arrived.
    received: usize,
    /// What was read over the connection since a part of the body arrived.
    progress: Progress,
    /// Whether [`AnswerBody::next`] has returned bytes: of a stream, a whole event.
    has_event: bool,
}

impl AnswerBody {
    /// Returns the body of an answer that consists of any bytes.
    pub fn opaque(head: &response::Parts, incoming: Incoming) -> Self {
        Self::new(head, incoming, Content::Opaque)
    }

    /// Returns the body of an answer that was asked for as a stream of events. It is opaque if the
    /// upstream declares another content type.
    pub fn events(head: &response::Parts, incoming: Incoming) -> Self {
        let content = match declares_other_type(&head.headers) {
            true => Content::Opaque,
            false => Content::Events(EventSplitter::default()),
        };
        Self::new(head, incoming, content)
    }

    fn new(head: &response::Parts, incoming: Incoming, content: Content) -> Self {
        Self {
            framing: Framing::of(head, &incoming),
            incoming,
            content,
            received: 0,
            progress: head.extensions.get().cloned().unwrap_or_default(),
            has_event: false,
        }
    }

    /// Returns what marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the body is a stream of events.
    pub fn is_events(&self) -> bool {
        matches!(self.content, Content::Events(_))
    }

    /// Returns the next bytes, of a stream whole events only, or `None` at the end of a complete
    /// body. Trailers are skipped. Cancel safe.
    ///
    /// # Errors
    ///
    /// See [`AnswerFault`]. The body must not be read further.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AnswerFault> {
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|error| match self.progress.limit_exceeded() {
                Some(most) => AnswerFault::NoContent(most),
                None => error.into(),
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.progress.record();
            self.received += data.len();
            if self.received > MAX_BODY_BYTES {
                return Err(AnswerFault::TooLarge(MAX_BODY_BYTES));
            }
            let data = match &mut self.content {
                Content::Opaque => data,
                Content::Events(splitter) => splitter.push(data)?,
            };
            if !data.is_empty() {
                self.has_event = true;
                return Ok(Some(data));
            }
        }
        self.finish()
    }

    /// Decides whether a body that has ended is complete. Returns the bytes after its last event.
    fn finish(&mut self) -> Result<Option<Bytes>, AnswerFault> {
        if self.framing == Framing::Connection && self.progress.has_unsent() {
            return Err(AnswerFault::RequestCut);
        }
        let Content::Events(splitter) = &mut self.content else {
            return Ok(None);
        };
        match splitter.partial_bytes() {
            0 if self.framing == Framing::Connection && !self.has_event => {
                Err(AnswerFault::NoEvent)
            }
            0 => Ok(Some(splitter.take_partial()).filter(|rest| !rest.is_empty())),
            partial => Err(AnswerFault::InsideEvent(partial)),
        }
    }

    /// Reads the body to its end, or until more than `max_bytes` have arrived. Returns what has
    /// arrived and whether it is the complete body. Not cancel safe.
    ///
    /// # Errors
    ///
    /// See [`AnswerFault`].
    pub async fn read_up_to(&mut self, max_bytes: usize) -> Result<(Bytes, bool), AnswerFault> {
        let mut all = BytesMut::new();
        while all.len() <= max_bytes {
            match self.next().await? {
                Some(data) => all.extend_from_slice(&data),
                None => return Ok((all.freeze(), true)),
            }
        }
        Ok((all.freeze(), false))
    }

    /// Like [`AnswerBody::read_up_to`], but reads no further either once `memory` has no room. The
    /// bytes count there until they are dropped, but for the last part if it had no room.
    ///
    /// # Errors
    ///
    /// See [`AnswerFault`].
    pub async fn read_within(
        &mut self,
        max_bytes: usize,
        memory: &AnswerMemory,
    ) -> Result<(Bytes, bool), AnswerFault> {
        let mut all = BytesMut::new();
        let mut taken = memory.try_take(0);
        let mut is_complete = false;
        while all.len() <= max_bytes {
            let Some(data) = self.next().await? else {
                is_complete = true;
                break;
            };
            all.extend_from_slice(&data);
            // A buffer that grows takes up to twice its length.
            let more = memory.try_take(2 * data.len());
            let (Some(taken), Some(more)) = (&mut taken, more) else {
                break;
            };
            taken.merge(more);
        }
        let all = all.freeze();
        let all = match taken {
            Some(share) => share.hold(all),
            None => all,
        };
        Ok((all, is_complete))
    }

    /// Reads and discards the rest of the body, in bounded bytes and within `timeout`. Returns
    /// whether the body is complete, so that its connection can be reused.
    pub async fn drain(mut self, timeout: Duration) -> bool {
        let read = async {
            let end = self.received + MAX_DRAIN_BYTES;
            while self.received <= end {
                match self.next().await {
                    Ok(Some(_)) => {}
                    Ok(None) => return true,
                    Err(_) => return false,
                }
            }
            false
        };
        tokio::time::timeout(timeout, read).await.unwrap_or(false)
    }
}

/// Reads the complete body of an answer, of at most `max_bytes` bytes. `timeout` bounds the whole
/// read.
///
/// # Errors
///
/// See [`AnswerFault`].
pub async fn read_answer(
    response: Response<Incoming>,
    max_bytes: usize,
    timeout: Duration,
) -> Result<(response::Parts, Bytes), AnswerFault> {
    let (head, incoming) = response.into_parts();
    let mut body = AnswerBody::opaque(&head, incoming);
    match tokio::time::timeout(timeout, body.read_up_to(max_bytes)).await {
        Ok(Ok((all, true))) if all.len() <= max_bytes => Ok((head, all)),
        Ok(Ok(_)) => Err(AnswerFault::TooLarge(max_bytes)),
        Ok(Err(fault)) => Err(fault),
        Err(_) => Err(AnswerFault::TimedOut(timeout)),
    }
}

/// Returns whether the headers declare another content type than that of events.
fn declares_other_type(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE);
    value
        .and_then(|value| value.to_str().ok()?.split(';').next())
        .is_some_and(|name| !name.trim().eq_ignore_ascii_case("text/event-stream"))
}
