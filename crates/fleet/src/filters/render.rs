//! Renders the answer of a chat that is not streamed to the caller as one JSON document.

use bytes::Bytes;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::unit::Tokens;
use serde::Serialize;

use crate::filters::attempt::FinishedAnswer;

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    total_tokens: Tokens,
}

/// Returns the complete answer as one JSON document.
pub fn completion(id: &str, model: &Model, text: &str, answer: &FinishedAnswer) -> Bytes {
    let completion = Completion {
        id,
        object: "chat.completion",
        model: model.as_str(),
        choices: [Choice {
            index: 0,
            message: Message {
                role: "assistant",
                content: text,
            },
            finish_reason: &answer.reason,
        }],
        usage: Usage {
            prompt_tokens: answer.usage.prompt,
            completion_tokens: answer.usage.generated,
            total_tokens: answer.usage.prompt + answer.usage.generated,
        },
    };
    // Strings and numbers always serialise, so the default isn't used.
    serde_json::to_vec(&completion).unwrap_or_default().into()
}
