//! One attempt at an upstream: opens its event stream, and checks and collects its events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Serialize;
use thiserror::Error;

use crate::edges::http::AnswerBody;
use crate::edges::http::AnswerFault;
use crate::edges::http::HttpClient;
use crate::edges::http::NotRun;
use crate::edges::http::RequestedPause;
use crate::edges::http::SendError;
use crate::edges::http::Tie;
use crate::edges::http::client::Call;
use crate::edges::http::counted;
use crate::edges::http::counted::REQUEST_ID_HEADER;
use crate::edges::http::events;
use crate::edges::http::events::EventTooLong;
use crate::filters::sse;
use crate::filters::sse::Event;
use crate::filters::sse::StreamError;
use crate::filters::sse::Usage;

/// Most delivered text that is kept for comparison with a later attempt.
const MAX_COMPARED_BYTES: usize = 4 << 20;
/// Most bytes of events that are held until the bill is stored.
const MAX_HELD_BYTES: usize = 256 << 10;
/// Timeout for the rest of a body to arrive before its connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the event stream of an upstream could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The upstream gave no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The upstream answered this request with another status than 200.
    #[error("status {0}")]
    Refused(StatusCode, NotRun, RequestedPause),
    /// An answer with this status is not tied to the request, which may run.
    #[error("status {0} of an answer that is not tied to the request")]
    Untied(StatusCode),
    /// The upstream declares that its answer is no stream of events.
    #[error("the answer is declared as another content type")]
    ContentType,
}

/// Why reading the event stream of an upstream failed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ReadFault {
    /// The stream ended before its last event.
    #[error("the stream broke off")]
    Interrupted,
    /// An event is invalid.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// An event is too long.
    #[error(transparent)]
    EventTooLong(#[from] EventTooLong),
    /// The answer is larger than this bound, in bytes.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
    /// The text differs from what an earlier attempt delivered.
    #[error("the attempt differs from the one passed on before")]
    Diverged,
}

/// Event stream of one attempt.
#[derive(Debug)]
pub struct EventStream {
    body: AnswerBody,
}

impl EventStream {
    /// Sends a chat and waits up to `timeout` for the head of the answer.
    ///
    /// # Errors
    ///
    /// See [`OpenError`].
    pub async fn open(
        client: &HttpClient,
        address: SocketAddr,
        id: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Self, OpenError> {
        let call = call(address, "/v1/chat/completions", id, body)?;
        Self::read_head(client.send(call, timeout).await?, address, id)
    }

    /// Requests the rest of an interrupted stream, from the token with number `offset`.
    ///
    /// # Errors
    ///
    /// See [`OpenError`].
    pub async fn resume(
        client: &HttpClient,
        address: SocketAddr,
        id: &str,
        offset: u64,
        timeout: Duration,
    ) -> Result<Self, OpenError> {
        let request = ResumeRequest {
            request_id: id,
            offset,
        };
        // A string and a number always serialise; an empty body would be refused by the upstream.
        let body = serde_json::to_vec(&request).unwrap_or_default();
        let call = call(address, "/v1/resume", id, body.into())?;
        // Over a kept connection, the answer could be the stream from its first token, which has
        // the same id.
        Self::read_head(client.send_once(call, timeout).await?, address, id)
    }

    /// Checks what the head of an answer to the attempt with this id says.
    fn read_head(
        response: Response<Incoming>,
        address: SocketAddr,
        id: &str,
    ) -> Result<Self, OpenError> {
        let status = response.status();
        let tie = counted::tie(&response, Some(id));
        if tie != Some(Tie::Id) {
            // Without the id, no later answer could be tied to its request.
            counted::retire(&response);
        }
        let Some(tie) = tie else {
            log::warn!(
                target: "upstream",
                id, address:%, status = status.as_u16();
                "answer is not tied to the request"
            );
            return Err(OpenError::Untied(status));
        };
        if status != StatusCode::OK {
            let pause = RequestedPause::read(status, response.headers());
            return Err(OpenError::Refused(status, NotRun::from_answer(tie), pause));
        }
        let (head, incoming) = response.into_parts();
        let body = AnswerBody::events(&head, incoming);
        match body.is_events() {
            true => Ok(Self { body }),
            false => Err(OpenError::ContentType),
        }
    }

    /// Returns the next complete events. Cancel safe.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Interrupted`] at the end of the body too: a complete answer ends with its last
    /// event, after which this is not called.
    pub async fn next_events(&mut self) -> Result<Bytes, ReadFault> {
        match self.body.next().await {
            Ok(Some(events)) => Ok(events),
            Ok(None) => Err(ReadFault::Interrupted),
            Err(AnswerFault::EventTooLong(error)) => Err(error.into()),
            Err(AnswerFault::TooLarge(max_bytes)) => Err(ReadFault::TooLarge(max_bytes)),
            Err(fault) => {
                log::info!(target: "upstream", error:% = fault; "chat broke off");
                Err(ReadFault::Interrupted)
            }
        }
    }

    /// Reads the end of the body in the background, so that the connection can be reused.
    pub fn drain(self) {
        tokio::spawn(self.body.drain(DRAIN_TIMEOUT));
    }
}

#[derive(Serialize)]
struct ResumeRequest<'a> {
    request_id: &'a str,
    offset: u64,
}

fn call(address: SocketAddr, path: &str, id: &str, body: Bytes) -> Result<Call, SendError> {
    Ok(Call {
        address,
        method: Method::POST,
        path: path.to_owned(),
        headers: headers(id)?,
        body,
    })
}

fn headers(id: &str) -> Result<HeaderMap, SendError> {
    let value = HeaderValue::from_str(id).map_err(http::Error::from)?;
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    headers.insert(REQUEST_ID_HEADER, value);
    Ok(headers)
}

/// Text of the answer so far: for a streamed answer, what all attempts delivered to the caller; for
/// a JSON answer, what the current attempt produced.
#[derive(Debug, Default)]
pub struct DeliveredText {
    /// The text itself; stops growing at an overflow.
    pub text: String,
    /// Number of its tokens.
    pub tokens: u64,
    /// Id of the attempt that delivered the first token.
    pub id: Option<Arc<str>>,
    /// Whether the text exceeded its bound, so that no later attempt can be compared with it.
    pub overflow: bool,
}

impl DeliveredText {
    fn append(&mut self, text: &str) {
        self.tokens += 1;
        if self.text.len() + text.len() > MAX_COMPARED_BYTES {
            self.overflow = true;
        }
        if !self.overflow {
            self.text.push_str(text);
        }
    }
}

/// Reads the events of one attempt, and skips the text that an earlier attempt delivered.
#[derive(Debug)]
pub struct AttemptReader {
    id: Arc<str>,
    /// Bytes of the delivered text that this attempt has produced too.
    matched_bytes: usize,
    tokens: u64,
    /// Events from the first [`Event::Last`] on.
    held_events: BytesMut,
    /// Text in the held events.
    final_text: String,
    reason: Option<String>,
    usage: Option<Usage>,
    /// Whether [`Event::Done`] was read.
    is_done: bool,
}

/// End of a complete answer.
#[derive(Debug)]
pub struct FinishedAnswer {
    /// Finish reason.
    pub reason: String,
    /// Token usage as reported by the upstream.
    pub usage: Usage,
    /// Text in the held events.
    pub final_text: String,
    /// Last events of the stream, to be sent once the bill is stored.
    pub held_events: Bytes,
}

impl AttemptReader {
    /// Returns a reader for the attempt with this id.
    pub fn new(id: Arc<str>) -> Self {
        Self {
            id,
            matched_bytes: 0,
            tokens: 0,
            held_events: BytesMut::new(),
            final_text: String::new(),
            reason: None,
            usage: None,
            is_done: false,
        }
    }

    /// Number of tokens read from this attempt, over all its streams.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Discards the held events, which a resumed stream sends again.
    pub fn discard_end(&mut self) {
        self.held_events.clear();
        self.final_text.clear();
        self.reason = None;
        self.usage = None;
        self.is_done = false;
    }

    /// Reads complete events. Returns those to send to the caller; the last ones are held.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Stream`] or [`ReadFault::Diverged`].
    pub fn read_events(
        &mut self,
        events: Bytes,
        delivered: &mut DeliveredText,
    ) -> Result<Bytes, ReadFault> {
        let mut part_start = 0;
        let mut part_end = 0;
        for event in events::split_events(events.clone()) {
            let skip = self.read_event(&event, delivered)?;
            if !self.held_events.is_empty() {
                continue;
            }
            part_end += event.len();
            if skip {
                part_start = part_end;
            }
        }
        let part = events.slice(part_start..part_end);
        Ok(self.replace_id(part, delivered))
    }

    /// Takes the end of the answer, once the last event was read.
    pub fn take_answer(&mut self) -> Option<FinishedAnswer> {
        if !self.is_done {
            return None;
        }
        Some(FinishedAnswer {
            reason: self.reason.take()?,
            usage: self.usage?,
            final_text: std::mem::take(&mut self.final_text),
            held_events: self.held_events.split().freeze(),
        })
    }

    /// Reads one event. Returns whether to skip it, as an earlier attempt delivered its text.
    fn read_event(
        &mut self,
        event: &Bytes,
        delivered: &mut DeliveredText,
    ) -> Result<bool, ReadFault> {
        match sse::parse_event(event, &self.id)? {
            Event::Empty => {
                self.hold_if_ending(event)?;
                Ok(self.matched_bytes < delivered.text.len())
            }
            Event::Token(_) if !self.held_events.is_empty() => Err(StreamError::Malformed.into()),
            Event::Token(text) => {
                self.tokens += 1;
                self.compare_or_append(&text, delivered)
            }
            Event::Last {
                text,
                reason,
                usage,
            } => {
                if self.matched_bytes < delivered.text.len() {
                    return Err(ReadFault::Diverged);
                }
                self.final_text.push_str(&text);
                self.reason = self
                    .reason
                    .take()
                    .or(reason.map(|reason| reason.into_owned()));
                self.usage = self.usage.or(usage);
                self.hold(event)?;
                Ok(false)
            }
            Event::Done => {
                if self.reason.is_none() || self.usage.is_none() {
                    return Err(StreamError::Malformed.into());
                }
                self.is_done = true;
                self.hold(event)?;
                Ok(false)
            }
        }
    }

    /// Compares text with what an earlier attempt delivered, or appends it if there is no more of
    /// that. Returns whether the text was delivered before.
    fn compare_or_append(
        &mut self,
        text: &str,
        delivered: &mut DeliveredText,
    ) -> Result<bool, ReadFault> {
        let remaining = &delivered.text[self.matched_bytes..];
        if remaining.is_empty() {
            delivered.append(text);
            delivered.id.get_or_insert_with(|| Arc::clone(&self.id));
            self.matched_bytes = delivered.text.len();
            return Ok(false);
        }
        if !remaining.starts_with(text) {
            return Err(ReadFault::Diverged);
        }
        self.matched_bytes += text.len();
        Ok(true)
    }

    /// Holds an event without text if the last events have begun.
    fn hold_if_ending(&mut self, event: &Bytes) -> Result<(), ReadFault> {
        if self.held_events.is_empty() {
            return Ok(());
        }
        self.hold(event)
    }

    fn hold(&mut self, event: &Bytes) -> Result<(), ReadFault> {
        if self.held_events.len() + event.len() > MAX_HELD_BYTES {
            return Err(StreamError::TooLong.into());
        }
        self.held_events.extend_from_slice(event);
        Ok(())
    }

    /// Replaces the id of this attempt by that of the attempt that began the answer, so that the
    /// caller sees one id.
    fn replace_id(&self, part: Bytes, delivered: &DeliveredText) -> Bytes {
        match &delivered.id {
            Some(first) if *first != self.id => replace_quoted(&part, &self.id, first),
            _ => part,
        }
    }

    /// Returns held events with the id of the attempt that began the answer.
    pub fn with_first_id(&self, events: Bytes, delivered: &DeliveredText) -> Bytes {
        self.replace_id(events, delivered)
    }
}

fn replace_quoted(part: &Bytes, from: &str, to: &str) -> Bytes {
    let text = String::from_utf8_lossy(part);
    let quoted = format!("\"{from}\"");
    Bytes::from(text.replace(&quoted, &format!("\"{to}\"")))
}
