//! What an engine answers: a function of the prompt, so that a reader can check the whole of it.

/// Tokens counted for each message besides its words.
pub const MESSAGE_TOKENS: u64 = 4;

const EXTRA_TOKENS: u64 = 8;
const LENGTH_MARK: &str = "tokens=";

/// All tokens of the answer to a prompt, given the text of its last message and the output limit.
///
/// A word `tokens=N` in the message sets the natural length. The second value says whether the
/// limit cut the answer short.
pub fn answer(last: &str, most: u64) -> (Vec<String>, bool) {
    let natural = length(last);
    let tokens = natural.min(most);
    let words: Vec<&str> = last.split_whitespace().collect();
    let token = |at: u64| match words.get(at as usize % words.len().max(1)) {
        Some(word) => format!("{word}.{at} "),
        None => format!("{at} "),
    };
    ((0..tokens).map(token).collect(), natural > most)
}

/// Number of prompt tokens of a message.
pub fn count(message: &str) -> u64 {
    message.split_whitespace().count() as u64 + MESSAGE_TOKENS
}

fn length(last: &str) -> u64 {
    last.split_whitespace()
        .filter_map(|word| word.strip_prefix(LENGTH_MARK))
        .find_map(|number| number.parse().ok())
        .unwrap_or_else(|| EXTRA_TOKENS + 2 * last.split_whitespace().count() as u64)
}
