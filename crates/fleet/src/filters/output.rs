//! The caller's side of a chat: head, body and end of the answer.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::Response;
use http::header;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::edges::http::ReplyBody;
use crate::filters::idempotency::MAX_RECORDED_BYTES;
use crate::filters::refusal::Refusal;
use crate::filters::sse;

const QUEUED_PARTS: usize = 16;

/// Form of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// One JSON document.
    Json,
    /// Server-sent events.
    Stream,
}

/// The caller has gone away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerGone;

/// The caller's side of one chat.
#[derive(Debug)]
pub struct AnswerSink {
    format: AnswerFormat,
    response_tx: Option<oneshot::Sender<Response<ReplyBody>>>,
    body_tx: Option<mpsc::Sender<Bytes>>,
    copy: BytesMut,
    copy_fits: bool,
}

impl AnswerSink {
    /// An answer that has not begun, and where its head comes out.
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

    /// Form of the answer.
    pub fn format(&self) -> AnswerFormat {
        self.format
    }

    /// Waits until the caller has gone away.
    pub async fn caller_gone(&mut self) {
        if let Some(parts) = &self.body_tx {
            return parts.closed().await;
        }
        match &mut self.response_tx {
            Some(response_tx) => response_tx.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Goes on without the caller, for a resend that waits for the answer.
    pub fn detach(&mut self) {
        self.response_tx = None;
        self.body_tx = None;
    }

    /// Passes a part of a streamed answer on. Waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// [`Gone`].
    pub async fn send(&mut self, part: Bytes) -> Result<(), CallerGone> {
        self.copy_part(&part);
        if let Some(response_tx) = self.response_tx.take() {
            let (tx, rx) = mpsc::channel(QUEUED_PARTS);
            self.body_tx = Some(tx);
            let response = answer_response(self.format, ReplyBody::Stream(rx));
            response_tx.send(response).map_err(|_| CallerGone)?;
        }
        match &self.body_tx {
            Some(parts) => parts.send(part).await.map_err(|_| CallerGone),
            None => Ok(()),
        }
    }

    /// Ends the answer. Returns its whole body, if that is within the bound for records.
    pub async fn finish(mut self, last: Bytes) -> Option<Bytes> {
        match self.format {
            // The answer is whole, billed and recorded; a caller that has gone may ask for it again.
            AnswerFormat::Stream => drop(self.send(last).await),
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

    /// Ends the answer with a refusal: by its status, or by an error event if a part was sent.
    pub async fn fail(mut self, refusal: &Refusal) {
        if let Some(response_tx) = self.response_tx.take() {
            // A caller that has gone needs no refusal.
            drop(response_tx.send(refusal.response()));
            return;
        }
        if let Some(parts) = &self.body_tx {
            drop(parts.send(sse::data_event(&refusal.json())).await);
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

/// An answer with the headers of its form.
pub fn answer_response(format: AnswerFormat, body: ReplyBody) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    let kind = match format {
        AnswerFormat::Json => "application/json",
        AnswerFormat::Stream => "text/event-stream",
    };
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    if format == AnswerFormat::Stream {
        let value = HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, value);
    }
    response
}
