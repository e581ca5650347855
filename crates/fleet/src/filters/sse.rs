//! Parses and writes the server-sent events of a chat answer.

use std::borrow::Cow;

use bytes::Bytes;
use bytes::BytesMut;
use chestnutnotch_core::unit::Tokens;
use serde::Deserialize;
use thiserror::Error;

use crate::edges::http::events;

/// Separator after each event.
const EVENT_END: &[u8] = b"\n\n";

/// Why a stream of events is invalid.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The last events of an answer are too long to be held.
    #[error("the end of the answer is too long")]
    TooLong,
    /// An event is not of the expected form.
    #[error("an event is malformed")]
    Malformed,
    /// An event belongs to another request.
    #[error("an event belongs to another request")]
    Foreign,
}

/// Token usage as reported by an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(rename = "prompt_tokens")]
    pub prompt: Tokens,
    /// Generated tokens.
    #[serde(rename = "completion_tokens")]
    pub generated: Tokens,
}

/// Content of one event.
#[derive(Debug, PartialEq)]
pub enum Event<'a> {
    /// A comment, or an event without text.
    Empty,
    /// The text of one generated token.
    Token(Cow<'a, str>),
    /// The finish reason, the usage, or both.
    Last {
        /// Text in the same event; may be empty.
        text: Cow<'a, str>,
        /// Finish reason.
        reason: Option<Cow<'a, str>>,
        /// Token usage of the request.
        usage: Option<Usage>,
    },
    /// The `[DONE]` marker that ends the stream.
    Done,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Delta<'a>,
    #[serde(borrow)]
    finish_reason: Option<Text<'a>>,
}

#[derive(Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Text<'a>>,
}

/// Borrows from the input where possible: inside an `Option`, serde would copy a plain `Cow`.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// Parses one event of the answer to the request with this id.
///
/// # Errors
///
/// [`StreamError::Malformed`] or [`StreamError::Foreign`].
pub fn parse_event<'a>(event: &'a [u8], id: &str) -> Result<Event<'a>, StreamError> {
    let event = events::skip_comments(event);
    if event.is_empty() {
        return Ok(Event::Empty);
    }
    let data = event.strip_prefix(b"data:");
    let data = data.ok_or(StreamError::Malformed)?.trim_ascii();
    if data == b"[DONE]" {
        return Ok(Event::Done);
    }
    let chunk: Chunk<'a> = serde_json::from_slice(data).map_err(|_| StreamError::Malformed)?;
    if chunk.id != id {
        return Err(StreamError::Foreign);
    }
    let mut text = Cow::Borrowed("");
    let mut reason = None;
    if let Some(choice) = chunk.choices.into_iter().next() {
        text = choice.delta.content.map_or(text, |content| content.0);
        reason = choice.finish_reason.map(|reason| reason.0);
    }
    if reason.is_some() || chunk.usage.is_some() {
        return Ok(Event::Last {
            text,
            reason,
            usage: chunk.usage,
        });
    }
    if text.is_empty() {
        return Ok(Event::Empty);
    }
    Ok(Event::Token(text))
}

/// Returns an event that carries the given JSON.
pub fn data_event(json: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(json.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(json);
    event.extend_from_slice(EVENT_END);
    event.freeze()
}
