//! One attempt at an upstream: its stream, and what was read of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use thiserror::Error;

use crate::edges::http::HttpClient;
use crate::edges::http::SendError;
use crate::edges::http::client::Call;
use crate::filters::sse;
use crate::filters::sse::Event;
use crate::filters::sse::Splitter;
use crate::filters::sse::StreamError;
use crate::filters::sse::Usage;

/// Header with the id of an attempt, echoed by the upstream in its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const MAX_COMPARED_BYTES: usize = 4 << 20;
const MAX_HELD_BYTES: usize = 256 << 10;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an upstream's stream did not begin.
#[derive(Debug, Error)]
pub enum OpenError {
    /// No answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// Another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
}

/// Why reading an upstream's stream ended early.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ReadFault {
    /// It broke off.
    #[error("the stream broke off")]
    Interrupted,
    /// It makes no sense.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// It differs from what was passed on of an earlier attempt.
    #[error("the attempt differs from the one passed on before")]
    Diverged,
}

/// An upstream's stream of events.
#[derive(Debug)]
pub struct EventStream {
    body: Incoming,
    splitter: Splitter,
}

impl EventStream {
    /// Sends a chat and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// See [`OpenError`].
    pub async fn open(
        client: &HttpClient,
        address: SocketAddr,
        id: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<Self, OpenError> {
        Self::request(client, address, "/v1/chat/completions", id, body, within).await
    }

    /// Asks for the rest of a broken stream, from the token with number `offset`.
    ///
    /// # Errors
    ///
    /// See [`OpenError`].
    pub async fn resume(
        client: &HttpClient,
        address: SocketAddr,
        id: &str,
        offset: u64,
        within: Duration,
    ) -> Result<Self, OpenError> {
        let request = ResumeRequest {
            request_id: id,
            offset,
        };
        // A string and a number always serialise; an empty body would be refused by the upstream.
        let body = serde_json::to_vec(&request).unwrap_or_default();
        Self::request(client, address, "/v1/resume", id, body.into(), within).await
    }

    async fn request(
        client: &HttpClient,
        address: SocketAddr,
        path: &str,
        id: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<Self, OpenError> {
        let call = Call {
            address,
            method: Method::POST,
            path: path.to_owned(),
            headers: headers(id)?,
            body,
        };
        let response = client.send(call, within).await?;
        if response.status() != StatusCode::OK {
            return Err(OpenError::Status(response.status()));
        }
        Ok(Self {
            body: response.into_body(),
            splitter: Splitter::default(),
        })
    }

    /// The next whole events; may be empty. Cancel safe.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Cut`] at the end of the body as well: an answer ends by its last event.
    pub async fn next_events(&mut self) -> Result<Bytes, ReadFault> {
        match self.body.frame().await {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => Ok(self.splitter.push(data)?),
                Err(_) => Ok(Bytes::new()),
            },
            Some(Err(_)) | None => Err(ReadFault::Interrupted),
        }
    }

    /// Reads the end of the body, so that the connection can be used again.
    pub fn drain(mut self) {
        if let Some(None) = self.body.frame().now_or_never() {
            return;
        }
        tokio::spawn(async move {
            let end = async { while let Some(Ok(_)) = self.body.frame().await {} };
            // A connection that does not end in time is closed.
            let _ = tokio::time::timeout(DRAIN_TIMEOUT, end).await;
        });
    }
}

#[derive(Serialize)]
struct ResumeRequest<'a> {
    request_id: &'a str,
    offset: u64,
}

fn headers(id: &str) -> Result<HeaderMap, SendError> {
    let value = HeaderValue::from_str(id).map_err(http::Error::from)?;
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    headers.insert(REQUEST_ID_HEADER, value);
    Ok(headers)
}

/// What was passed on to the caller, over all attempts.
#[derive(Debug, Default)]
pub struct DeliveredText {
    /// Its text.
    pub text: String,
    /// Its tokens.
    pub tokens: u64,
    /// Id of the attempt whose events were passed on first.
    pub id: Option<Arc<str>>,
    /// Whether the text is longer than the bound, so that no other attempt can be compared.
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

/// Reads the events of one attempt.
#[derive(Debug)]
pub struct AttemptReader {
    id: Arc<str>,
    matched_bytes: usize,
    tokens: u64,
    held_events: BytesMut,
    final_text: String,
    reason: Option<String>,
    usage: Option<Usage>,
    is_done: bool,
}

/// A whole answer.
#[derive(Debug)]
pub struct FinishedAnswer {
    /// Why the text ends.
    pub reason: String,
    /// What it cost.
    pub usage: Usage,
    /// Text that came with the end.
    pub final_text: String,
    /// Events that are held until the bill is safe.
    pub held_events: Bytes,
}

impl AttemptReader {
    /// A reader of the attempt with this id.
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

    /// Tokens read of this attempt.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Forgets the held end: a resumed stream sends it again.
    pub fn discard_end(&mut self) {
        self.held_events.clear();
        self.final_text.clear();
        self.reason = None;
        self.usage = None;
        self.is_done = false;
    }

    /// Reads whole events. Returns those to pass on; the end is held.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Stream`] or [`ReadFault::Diverged`].
    pub fn read_events(
        &mut self,
        whole: Bytes,
        delivered: &mut DeliveredText,
    ) -> Result<Bytes, ReadFault> {
        let mut part_start = 0;
        let mut part_end = 0;
        for event in sse::split_events(whole.clone()) {
            let skip = self.read_event(&event, delivered)?;
            if !self.held_events.is_empty() {
                continue;
            }
            part_end += event.len();
            if skip {
                part_start = part_end;
            }
        }
        let part = whole.slice(part_start..part_end);
        Ok(self.replace_id(part, delivered))
    }

    /// The whole answer, once its last event was read.
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

    /// Reads one event. Returns whether it was passed on by an earlier attempt.
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

    fn compare_or_append(
        &mut self,
        text: &str,
        delivered: &mut DeliveredText,
    ) -> Result<bool, ReadFault> {
        let ahead = &delivered.text[self.matched_bytes..];
        if ahead.is_empty() {
            delivered.append(text);
            delivered.id.get_or_insert_with(|| Arc::clone(&self.id));
            self.matched_bytes = delivered.text.len();
            return Ok(false);
        }
        if !ahead.starts_with(text) {
            return Err(ReadFault::Diverged);
        }
        self.matched_bytes += text.len();
        Ok(true)
    }

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

    /// Gives the events of a later attempt the id under which the answer began.
    fn replace_id(&self, part: Bytes, delivered: &DeliveredText) -> Bytes {
        match &delivered.id {
            Some(first) if *first != self.id => replace_quoted(&part, &self.id, first),
            _ => part,
        }
    }

    /// The held end under the id under which the answer began.
    pub fn with_first_id(&self, events: Bytes, delivered: &DeliveredText) -> Bytes {
        self.replace_id(events, delivered)
    }
}

fn replace_quoted(part: &Bytes, from: &str, to: &str) -> Bytes {
    let text = String::from_utf8_lossy(part);
    let quoted = format!("\"{from}\"");
    Bytes::from(text.replace(&quoted, &format!("\"{to}\"")))
}
