//! Text of an engine's answers. It is a function of the prompt, so that a test can check all of it.

/// Prompt tokens counted for each message in addition to its words.
pub const MESSAGE_TOKENS: u64 = 4;

/// Natural length of the answer to an empty message.
const BASE_ANSWER_TOKENS: u64 = 8;
/// Prefix of the word that sets the natural length.
const LENGTH_PREFIX: &str = "tokens=";

/// Returns all tokens of the answer to a prompt, given the text of its last message and the output
/// limit. The second value tells whether the limit cut the answer short.
///
/// A word `tokens=N` in the message sets the natural length of the answer, which otherwise grows
/// with the number of words.
pub fn answer(last: &str, limit: u64) -> (Vec<String>, bool) {
    let natural = natural_length(last);
    let tokens = natural.min(limit);
    let words: Vec<&str> = last.split_whitespace().collect();
    let token = |at: u64| match words.get(at as usize % words.len().max(1)) {
        Some(word) => format!("{word}.{at} "),
        None => format!("{at} "),
    };
    ((0..tokens).map(token).collect(), natural > limit)
}

/// Returns the number of prompt tokens of a message.
pub fn prompt_tokens(message: &str) -> u64 {
    message.split_whitespace().count() as u64 + MESSAGE_TOKENS
}

/// Returns the natural length of the answer, in tokens, before the output limit applies.
fn natural_length(last: &str) -> u64 {
    last.split_whitespace()
        .filter_map(|word| word.strip_prefix(LENGTH_PREFIX))
        .find_map(|number| number.parse().ok())
        .unwrap_or_else(|| BASE_ANSWER_TOKENS + 2 * last.split_whitespace().count() as u64)
}
