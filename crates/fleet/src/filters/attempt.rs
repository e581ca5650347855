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
pub const ID_HEADER: &str = "x-request-id";

const TEXT_BYTES: usize = 4 << 20;
const LAST_BYTES: usize = 256 << 10;
const DRAIN_WITHIN: Duration = Duration::from_secs(1);

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
    Cut,
    /// It makes no sense.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// It differs from what was passed on of an earlier attempt.
    #[error("the attempt differs from the one passed on before")]
    Diverged,
}

/// An upstream's stream of events.
#[derive(Debug)]
pub struct Source {
    body: Incoming,
    splitter: Splitter,
}

impl Source {
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
        let request = Resume {
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
    pub async fn next(&mut self) -> Result<Bytes, ReadFault> {
        match self.body.frame().await {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => Ok(self.splitter.push(data)?),
                Err(_) => Ok(Bytes::new()),
            },
            Some(Err(_)) | None => Err(ReadFault::Cut),
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
            let _ = tokio::time::timeout(DRAIN_WITHIN, end).await;
        });
    }
}

#[derive(Serialize)]
struct Resume<'a> {
    request_id: &'a str,
    offset: u64,
}

fn headers(id: &str) -> Result<HeaderMap, SendError> {
    let value = HeaderValue::from_str(id).map_err(http::Error::from)?;
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    headers.insert(ID_HEADER, value);
    Ok(headers)
}

/// What was passed on to the caller, over all attempts.
#[derive(Debug, Default)]
pub struct Passed {
    /// Its text.
    pub text: String,
    /// Its tokens.
    pub tokens: u64,
    /// Id of the attempt whose events were passed on first.
    pub id: Option<Arc<str>>,
    /// Whether the text is longer than the bound, so that no other attempt can be compared.
    pub overflow: bool,
}

impl Passed {
    fn push(&mut self, text: &str) {
        self.tokens += 1;
        if self.text.len() + text.len() > TEXT_BYTES {
            self.overflow = true;
        }
        if !self.overflow {
            self.text.push_str(text);
        }
    }
}

/// Reads the events of one attempt.
#[derive(Debug)]
pub struct Reader {
    id: Arc<str>,
    matched: usize,
    got: u64,
    last: BytesMut,
    tail: String,
    reason: Option<String>,
    usage: Option<Usage>,
    done: bool,
}

/// A whole answer.
#[derive(Debug)]
pub struct Finish {
    /// Why the text ends.
    pub reason: String,
    /// What it cost.
    pub usage: Usage,
    /// Text that came with the end.
    pub tail: String,
    /// Events that are held until the bill is safe.
    pub last: Bytes,
}

impl Reader {
    /// A reader of the attempt with this id.
    pub fn new(id: Arc<str>) -> Self {
        Self {
            id,
            matched: 0,
            got: 0,
            last: BytesMut::new(),
            tail: String::new(),
            reason: None,
            usage: None,
            done: false,
        }
    }

    /// Tokens read of this attempt.
    pub fn got(&self) -> u64 {
        self.got
    }

    /// Forgets the held end: a resumed stream sends it again.
    pub fn rewind(&mut self) {
        self.last.clear();
        self.tail.clear();
        self.reason = None;
        self.usage = None;
        self.done = false;
    }

    /// Reads whole events. Returns those to pass on; the end is held.
    ///
    /// # Errors
    ///
    /// [`ReadFault::Stream`] or [`ReadFault::Diverged`].
    pub fn absorb(&mut self, whole: Bytes, passed: &mut Passed) -> Result<Bytes, ReadFault> {
        let mut start = 0;
        let mut end = 0;
        for event in sse::events(whole.clone()) {
            let skip = self.read(&event, passed)?;
            if !self.last.is_empty() {
                continue;
            }
            end += event.len();
            if skip {
                start = end;
            }
        }
        let part = whole.slice(start..end);
        Ok(self.rename(part, passed))
    }

    /// The whole answer, once its last event was read.
    pub fn finish(&mut self) -> Option<Finish> {
        if !self.done {
            return None;
        }
        Some(Finish {
            reason: self.reason.take()?,
            usage: self.usage?,
            tail: std::mem::take(&mut self.tail),
            last: self.last.split().freeze(),
        })
    }

    /// Reads one event. Returns whether it was passed on by an earlier attempt.
    fn read(&mut self, event: &Bytes, passed: &mut Passed) -> Result<bool, ReadFault> {
        match sse::read(event, &self.id)? {
            Event::Idle => {
                self.hold_if_ending(event)?;
                Ok(self.matched < passed.text.len())
            }
            Event::Token(_) if !self.last.is_empty() => Err(StreamError::Malformed.into()),
            Event::Token(text) => {
                self.got += 1;
                self.compare(&text, passed)
            }
            Event::Last {
                text,
                reason,
                usage,
            } => {
                if self.matched < passed.text.len() {
                    return Err(ReadFault::Diverged);
                }
                self.tail.push_str(&text);
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
                self.done = true;
                self.hold(event)?;
                Ok(false)
            }
        }
    }

    fn compare(&mut self, text: &str, passed: &mut Passed) -> Result<bool, ReadFault> {
        let ahead = &passed.text[self.matched..];
        if ahead.is_empty() {
            passed.push(text);
            passed.id.get_or_insert_with(|| Arc::clone(&self.id));
            self.matched = passed.text.len();
            return Ok(false);
        }
        if !ahead.starts_with(text) {
            return Err(ReadFault::Diverged);
        }
        self.matched += text.len();
        Ok(true)
    }

    fn hold_if_ending(&mut self, event: &Bytes) -> Result<(), ReadFault> {
        if self.last.is_empty() {
            return Ok(());
        }
        self.hold(event)
    }

    fn hold(&mut self, event: &Bytes) -> Result<(), ReadFault> {
        if self.last.len() + event.len() > LAST_BYTES {
            return Err(StreamError::TooLong.into());
        }
        self.last.extend_from_slice(event);
        Ok(())
    }

    /// Gives the events of a later attempt the id under which the answer began.
    fn rename(&self, part: Bytes, passed: &Passed) -> Bytes {
        match &passed.id {
            Some(first) if *first != self.id => replace(&part, &self.id, first),
            _ => part,
        }
    }

    /// The held end under the id under which the answer began.
    pub fn renamed(&self, last: Bytes, passed: &Passed) -> Bytes {
        self.rename(last, passed)
    }
}

fn replace(part: &Bytes, from: &str, to: &str) -> Bytes {
    let text = String::from_utf8_lossy(part);
    let quoted = format!("\"{from}\"");
    Bytes::from(text.replace(&quoted, &format!("\"{to}\"")))
}
