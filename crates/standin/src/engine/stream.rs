//! Answers to a chat: one JSON value, or a stream of server-sent events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::watch;

use crate::error::Cut;
use crate::faults::Faults;
use crate::http::Body;
use crate::http::error;
use crate::http::full;
use crate::http::typed;

use super::run::Progress;
use super::run::Run;

/// Last event of a stream.
const DONE: &str = "data: [DONE]\n\n";

/// A whole answer, or one event of a stream.
#[derive(Serialize)]
struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// The only choice in an answer. `message` belongs to a whole answer and `delta` to an event.
#[derive(Serialize)]
struct Choice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta>,
    finish_reason: Option<&'static str>,
}

/// Message of a whole answer.
#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

/// Part of the message in an event.
#[derive(Serialize)]
struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
}

/// Token counts of a request.
#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl Usage {
    /// Returns the counts of a run that produced this many tokens.
    fn of(run: &Run, produced: u64) -> Self {
        Self {
            prompt_tokens: run.prompt,
            completion_tokens: produced,
            total_tokens: run.prompt + produced,
        }
    }
}

/// Waits for the end of a run and returns the whole answer.
pub(crate) async fn complete(run: Arc<Run>, id: Arc<str>, faults: Faults) -> Response<Body> {
    let mut progress = run.subscribe();
    let ended = progress.wait_for(|at| at.ended).await.map(|at| *at);
    let Ok(Progress {
        cancelled: false,
        produced,
        ..
    }) = ended
    else {
        return error(StatusCode::CONFLICT, "cancelled");
    };
    if faults.late > 0 {
        tokio::time::sleep(Duration::from_millis(faults.late)).await;
    }
    let answer = Answer {
        id: &id,
        object: "chat.completion",
        choices: [Choice {
            index: 0,
            message: Some(Message {
                role: "assistant",
                content: run.tokens.concat(),
            }),
            delta: None,
            finish_reason: Some(finish_reason_of(&run)),
        }],
        usage: Some(Usage::of(&run, produced)),
    };
    let mut bytes = serde_json::to_vec(&answer).unwrap_or_default();
    if faults.truncate {
        bytes.truncate(bytes.len() / 2);
    }
    typed(StatusCode::OK, "application/json", full(bytes))
}

/// Returns the answer of a run as a stream that begins at a token offset.
pub(crate) fn events(run: Arc<Run>, id: Arc<str>, offset: u64, faults: Faults) -> Response<Body> {
    let reader = Reader {
        progress: run.subscribe(),
        run,
        id,
        sent: offset,
        faults,
        ended: false,
    };
    let body = StreamBody::new(reader.frames());
    typed(StatusCode::OK, "text/event-stream", body.boxed())
}

/// Produces the events of one stream.
struct Reader {
    /// The run to stream.
    run: Arc<Run>,
    /// Request id to report.
    id: Arc<str>,
    /// Progress of the run.
    progress: watch::Receiver<Progress>,
    /// Offset of the next token to send.
    sent: u64,
    /// Faults that were on when the request arrived.
    faults: Faults,
    /// Whether the last event was returned.
    ended: bool,
}

impl Reader {
    /// Returns the body of the response.
    fn frames(self) -> impl Stream<Item = Result<Frame<Bytes>, Cut>> + Send + Sync {
        stream::unfold(self, |mut reader| async move {
            let next = reader.next().await?;
            Some((next.map(Frame::data), reader))
        })
    }

    /// Waits for new tokens and returns their events as one chunk, or `None` after the last one.
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        if self.ended {
            return None;
        }
        let sent = self.sent;
        let due = |at: &Progress| at.ended || at.produced > sent;
        let at = match self.progress.wait_for(due).await {
            Ok(at) => *at,
            Err(_) => return Some(Err(Cut)),
        };
        if self.faults.late > 0 {
            tokio::time::sleep(Duration::from_millis(self.faults.late)).await;
            self.faults.late = 0;
        }
        let limit = self.faults.cut.unwrap_or(u64::MAX);
        if self.sent >= limit || at.cancelled {
            return Some(Err(Cut));
        }
        Some(Ok(self.chunk(at, limit)))
    }

    /// Returns the events of the tokens up to `limit` that were not sent yet, and the final events
    /// if the run has ended.
    fn chunk(&mut self, at: Progress, limit: u64) -> Bytes {
        let upto = at.produced.min(limit);
        let mut text = String::new();
        while self.sent < upto {
            let token = self.run.tokens.get(self.sent as usize);
            text.push_str(&self.token(token.cloned().unwrap_or_default()));
            self.sent += 1;
        }
        if at.ended && self.sent >= at.produced {
            self.ended = true;
            if !self.faults.truncate {
                text.push_str(&self.last(at.produced));
                text.push_str(DONE);
            }
        }
        text.into()
    }

    /// Returns the event of a token.
    fn token(&self, content: String) -> String {
        self.event(Some(content), None, None)
    }

    /// Returns the event with the finish reason and the token counts.
    fn last(&self, produced: u64) -> String {
        let usage = Usage::of(&self.run, produced);
        self.event(None, Some(finish_reason_of(&self.run)), Some(usage))
    }

    /// Encodes an event.
    fn event(
        &self,
        content: Option<String>,
        finish: Option<&'static str>,
        usage: Option<Usage>,
    ) -> String {
        let answer = Answer {
            id: &self.id,
            object: "chat.completion.chunk",
            choices: [Choice {
                index: 0,
                message: None,
                delta: Some(Delta { content }),
                finish_reason: finish,
            }],
            usage,
        };
        format!(
            "data: {}\n\n",
            serde_json::to_string(&answer).unwrap_or_default()
        )
    }
}

/// Returns the finish reason of a run.
fn finish_reason_of(run: &Run) -> &'static str {
    if run.hit_limit { "length" } else { "stop" }
}
