//! Sends the answer of a chat to its caller, and keeps a copy of it for resends.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::Response;
use http::header;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::edges::http::Part;
use crate::edges::http::ReplyBody;
use crate::filters::idempotency::MAX_RECORDED_BYTES;
use crate::filters::refusal::Refusal;
use crate::filters::sse;

/// Parts of a streamed answer that may wait for a slow caller.
const QUEUED_PARTS: usize = 16;

/// Format of an answer, as the caller requested it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// One JSON document.
    Json,
    /// Server-sent events.
    Stream,
}

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerGone;

/// The answer of one chat, on its way to the caller.
#[derive(Debug)]
pub struct AnswerSink {
    format: AnswerFormat,
    /// Takes the response with its headers; empty once sent.
    response_tx: Option<oneshot::Sender<Response<ReplyBody>>>,
    /// Takes the parts of a streamed body once the response was sent.
    body_tx: Option<mpsc::Sender<Part>>,
    /// Copy of the body for the record.
    copy: BytesMut,
    /// Whether the copy is still within [`MAX_RECORDED_BYTES`].
    copy_fits: bool,
}

impl AnswerSink {
    /// Returns an answer that has not begun, and the receiver of its response.
    pub fn new(format: AnswerFormat) -> (Self, oneshot::Receiver<Response<ReplyBody>>) {
        let (response_tx, response_rx) = oneshot::channel();
        let sink = Self {
            format,
            response_tx: Some(response_tx),
            body_tx: None,
            copy: BytesMut::new(),
            copy_fits: true,
        };
        (sink, response_rx)
    }

    /// Format of the answer.
    pub fn format(&self) -> AnswerFormat {
        self.format
    }

    /// Waits until the caller has closed its connection. Never returns once detached.
    pub async fn caller_gone(&mut self) {
        if let Some(parts) = &self.body_tx {
            return parts.closed().await;
        }
        match &mut self.response_tx {
            Some(response_tx) => response_tx.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Drops the connection to the caller; the answer is only recorded, for a resend that waits.
    pub fn detach(&mut self) {
        self.response_tx = None;
        self.body_tx = None;
    }

    /// Sends a part of a streamed answer to the caller. Waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// [`CallerGone`].
    pub async fn send(&mut self, part: Bytes) -> Result<(), CallerGone> {
        self.copy_part(&part);
        if let Some(response_tx) = self.response_tx.take() {
            let (tx, rx) = mpsc::channel(QUEUED_PARTS);
            self.body_tx = Some(tx);
            let response = answer_response(self.format, ReplyBody::Stream(rx));
            response_tx.send(response).map_err(|_| CallerGone)?;
        }
        match &self.body_tx {
            Some(parts) => parts.send(Part::Data(part)).await.map_err(|_| CallerGone),
            None => Ok(()),
        }
    }

    /// Sends the last part. Returns the whole body if it is within [`MAX_RECORDED_BYTES`].
    pub async fn finish(mut self, last: Bytes) -> Option<Bytes> {
        match self.format {
            // The answer is complete and billed; a caller that has gone can get it by a resend.
            AnswerFormat::Stream => {
                let _ = self.send(last).await;
                self.end().await;
            }
            AnswerFormat::Json => {
                self.copy_part(&last);
                if let Some(response_tx) = self.response_tx.take() {
                    let response = answer_response(self.format, ReplyBody::whole(last));
                    drop(response_tx.send(response));
                }
            }
        }
        self.copy_fits.then(|| self.copy.freeze())
    }

    /// Ends the answer with a refusal: as a response, or as an error event if a part was sent.
    pub async fn fail(mut self, refusal: &Refusal) {
        if let Some(response_tx) = self.response_tx.take() {
            // Fails only if the caller has gone.
            drop(response_tx.send(refusal.response()));
            return;
        }
        if let Some(parts) = &self.body_tx {
            let event = Part::Data(sse::data_event(&refusal.json()));
            drop(parts.send(event).await);
            self.end().await;
        }
    }

    /// Marks a streamed body as complete. Without this, the caller sees a truncated body.
    async fn end(&self) {
        if let Some(parts) = &self.body_tx {
            // Fails only if the caller has gone.
            drop(parts.send(Part::End).await);
        }
    }

    fn copy_part(&mut self, part: &Bytes) {
        self.copy_fits &= self.copy.len() + part.len() <= MAX_RECORDED_BYTES;
        if self.copy_fits {
            self.copy.extend_from_slice(part);
        } else {
            self.copy = BytesMut::new();
        }
    }
}

/// Returns an answer with the headers of its format.
pub fn answer_response(format: AnswerFormat, body: ReplyBody) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    let content_type = match format {
        AnswerFormat::Json => "application/json",
        AnswerFormat::Stream => "text/event-stream",
    };
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    if format == AnswerFormat::Stream {
        let value = HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, value);
    }
    response
}
