//! Parses a chat request and computes an upper bound of its tokens.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use bytes::Bytes;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::unit::Tokens;
use serde_json::Map;
use serde_json::Value;

use crate::filters::refusal::Malformed;
use crate::json;

/// Tokens that the chat template of a model may add to each message or content part.
const MESSAGE_TEMPLATE_TOKENS: u64 = 16;
/// Tokens that the chat template of a model may add to each request.
const REQUEST_TEMPLATE_TOKENS: u64 = 32;

/// Number of leading messages whose prefixes are hashed.
const MAX_PREFIXES: usize = 16;

/// Most JSON values in the body of a chat. Decoded, each takes some hundred bytes beside its text.
const MAX_VALUES: usize = 65_536;

/// Fields that add nothing to the prompt, and the messages, which are counted by themselves.
const UNCOUNTED_FIELDS: [&str; 5] = ["model", "messages", "stream", "stream_options", "user"];

/// A chat request as the caller sent it.
#[derive(Debug)]
pub struct ChatRequest {
    /// The requested model.
    pub model: Model,
    /// The requested adapter of the model, if any.
    pub adapter: Option<Arc<str>>,
    /// Whether the answer is streamed to the caller.
    pub stream: bool,
    /// Most tokens to generate, if the caller set a limit.
    pub output_limit: Option<Tokens>,
    /// Upper bound of the tokens of the prompt.
    pub prompt_bound: Tokens,
    /// Hashes of the prompt up to each message, shortest first, to find upstreams that cache it.
    pub prefix_hashes: Vec<u64>,
    /// Hash of the whole body, to detect a key reused for another request.
    pub body_hash: Fingerprint,
    /// The body as the caller sent it. It is decoded again for each attempt: decoded, it takes several
    /// times its size, and a chat may wait long.
    body: Bytes,
}

impl ChatRequest {
    /// Parses the body of a chat request.
    ///
    /// # Errors
    ///
    /// [`Malformed`] says which part of the body is not served.
    pub fn parse(body: &Bytes) -> Result<Self, Malformed> {
        if json::has_more_values(body, MAX_VALUES) {
            return Err(Malformed::Values(MAX_VALUES));
        }
        let fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|_| Malformed::Json)?;
        let model = fields.get("model").and_then(Value::as_str);
        let model = model.ok_or(Malformed::Json)?;
        let stream = optional_bool(&fields, "stream")?;
        require_one(&fields, "n")?;
        require_one(&fields, "best_of")?;
        if !stream && fields.contains_key("tools") {
            return Err(Malformed::Tools);
        }
        Ok(Self {
            model: model.into(),
            adapter: optional_string(&fields, "adapter")?,
            stream,
            output_limit: output_limit(&fields)?,
            prompt_bound: prompt_bound(&fields)?,
            prefix_hashes: prefix_hashes(&fields),
            body_hash: Fingerprint::of(body),
            body: body.clone(),
        })
    }

    /// Returns the body for the upstream: always streamed, with usage and an explicit limit of
    /// `limit` generated tokens.
    pub fn upstream_body(&self, limit: Tokens, priority: u8) -> Vec<u8> {
        // The body was decoded before, so this can't fail.
        let mut fields: Map<String, Value> = serde_json::from_slice(&self.body).unwrap_or_default();
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), limit.0.into());
        fields.insert("priority".to_owned(), priority.into());
        fields.insert("stream".to_owned(), true.into());
        let options = Map::from_iter([("include_usage".to_owned(), true.into())]);
        fields.insert("stream_options".to_owned(), options.into());
        // A map of JSON values always serialises; an empty body would be refused by the upstream.
        serde_json::to_vec(&fields).unwrap_or_default()
    }
}

fn prefix_hashes(fields: &Map<String, Value>) -> Vec<u64> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let mut hasher = DefaultHasher::new();
    let hash = |message: &Value| {
        message.hash(&mut hasher);
        hasher.finish()
    };
    messages
        .into_iter()
        .flatten()
        .take(MAX_PREFIXES)
        .map(hash)
        .collect()
}

fn optional_bool(fields: &Map<String, Value>, name: &str) -> Result<bool, Malformed> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(set)) => Ok(*set),
        Some(_) => Err(Malformed::Json),
    }
}

fn optional_string(fields: &Map<String, Value>, name: &str) -> Result<Option<Arc<str>>, Malformed> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.as_str().into())),
        Some(_) => Err(Malformed::Json),
    }
}

/// Checks that a field that asks for several answers is absent or 1.
fn require_one(fields: &Map<String, Value>, name: &str) -> Result<(), Malformed> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(Malformed::Choices),
    }
}

/// Returns the lower of the two fields that limit the output.
fn output_limit(fields: &Map<String, Value>) -> Result<Option<Tokens>, Malformed> {
    let mut lowest = None;
    for name in ["max_tokens", "max_completion_tokens"] {
        let value = match fields.get(name) {
            None | Some(Value::Null) => continue,
            Some(value) => value.as_u64().filter(|value| *value > 0),
        };
        let value = Tokens(value.ok_or(Malformed::Limit)?);
        lowest = Some(lowest.map_or(value, |lowest: Tokens| lowest.min(value)));
    }
    Ok(lowest)
}

/// Returns an upper bound of the tokens of the prompt: a tokenizer makes at most one token of each
/// byte of text.
fn prompt_bound(fields: &Map<String, Value>) -> Result<Tokens, Malformed> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.ok_or(Malformed::Json)?;
    if messages.is_empty() {
        return Err(Malformed::NoMessages);
    }
    let mut total = REQUEST_TEMPLATE_TOKENS;
    for message in messages {
        total += MESSAGE_TEMPLATE_TOKENS + message_bytes(message)?;
    }
    let others = fields
        .iter()
        .filter(|(name, _)| !UNCOUNTED_FIELDS.contains(&name.as_str()));
    for (name, value) in others {
        if value.is_object() || value.is_array() || value.is_string() {
            total += (name.len() + value.to_string().len()) as u64;
        }
    }
    Ok(Tokens(total))
}

fn message_bytes(message: &Value) -> Result<u64, Malformed> {
    let fields = message.as_object().ok_or(Malformed::Json)?;
    let mut total = 0;
    for (name, value) in fields {
        total += match (name.as_str(), value) {
            (_, Value::String(text)) => text.len() as u64,
            ("content", Value::Array(parts)) => parts_bytes(parts)?,
            (_, Value::Null) => 0,
            (name, value) => (name.len() + value.to_string().len()) as u64,
        };
    }
    Ok(total)
}

fn parts_bytes(parts: &[Value]) -> Result<u64, Malformed> {
    let mut total = 0;
    for part in parts {
        let text = part.get("text").and_then(Value::as_str);
        let part_type = part.get("type").and_then(Value::as_str);
        let (Some(text), Some("text")) = (text, part_type) else {
            return Err(Malformed::Content);
        };
        total += MESSAGE_TEMPLATE_TOKENS + text.len() as u64;
    }
    Ok(total)
}
