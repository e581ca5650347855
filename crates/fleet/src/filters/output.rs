//! The caller's side of a chat: head, body and end of the answer.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::Response;
use http::header;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::edges::http::ReplyBody;
use crate::filters::known::ANSWER_BYTES;
use crate::filters::refusal::Refusal;
use crate::filters::sse;

const PARTS: usize = 16;

/// Form of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// One JSON document.
    Json,
    /// Server-sent events.
    Stream,
}

/// The caller has gone away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gone;

/// The caller's side of one chat.
#[derive(Debug)]
pub struct Output {
    form: Form,
    head: Option<oneshot::Sender<Response<ReplyBody>>>,
    parts: Option<mpsc::Sender<Bytes>>,
    record: BytesMut,
    recorded: bool,
}

impl Output {
    /// An answer that has not begun, and where its head comes out.
    pub fn new(form: Form) -> (Self, oneshot::Receiver<Response<ReplyBody>>) {
        let (head, answer) = oneshot::channel();
        let output = Self {
            form,
            head: Some(head),
            parts: None,
            record: BytesMut::new(),
            recorded: true,
        };
        (output, answer)
    }

    /// Form of the answer.
    pub fn form(&self) -> Form {
        self.form
    }

    /// Waits until the caller has gone away.
    pub async fn gone(&mut self) {
        if let Some(parts) = &self.parts {
            return parts.closed().await;
        }
        match &mut self.head {
            Some(head) => head.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Goes on without the caller, for a resend that waits for the answer.
    pub fn detach(&mut self) {
        self.head = None;
        self.parts = None;
    }

    /// Passes a part of a streamed answer on. Waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// [`Gone`].
    pub async fn pass(&mut self, part: Bytes) -> Result<(), Gone> {
        self.keep(&part);
        if let Some(head) = self.head.take() {
            let (tx, rx) = mpsc::channel(PARTS);
            self.parts = Some(tx);
            let response = answer(self.form, ReplyBody::Stream(rx));
            head.send(response).map_err(|_| Gone)?;
        }
        match &self.parts {
            Some(parts) => parts.send(part).await.map_err(|_| Gone),
            None => Ok(()),
        }
    }

    /// Ends the answer. Returns its whole body, if that is within the bound for records.
    pub async fn finish(mut self, last: Bytes) -> Option<Bytes> {
        match self.form {
            // The answer is whole, billed and recorded; a caller that has gone may ask for it again.
            Form::Stream => drop(self.pass(last).await),
            Form::Json => {
                self.keep(&last);
                if let Some(head) = self.head.take() {
                    let response = answer(self.form, ReplyBody::whole(last));
                    drop(head.send(response));
                }
            }
        }
        self.recorded.then(|| self.record.freeze())
    }

    /// Ends the answer with a refusal: by its status, or by an error event if a part was sent.
    pub async fn fail(mut self, refusal: &Refusal) {
        if let Some(head) = self.head.take() {
            // A caller that has gone needs no refusal.
            drop(head.send(refusal.response()));
            return;
        }
        if let Some(parts) = &self.parts {
            drop(parts.send(sse::event(&refusal.json())).await);
        }
    }

    fn keep(&mut self, part: &Bytes) {
        self.recorded &= self.record.len() + part.len() <= ANSWER_BYTES;
        if self.recorded {
            self.record.extend_from_slice(part);
        } else {
            self.record = BytesMut::new();
        }
    }
}

/// An answer with the headers of its form.
pub fn answer(form: Form, body: ReplyBody) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    let kind = match form {
        Form::Json => "application/json",
        Form::Stream => "text/event-stream",
    };
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    if form == Form::Stream {
        let value = HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, value);
    }
    response
}
