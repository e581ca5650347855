//! Faults that can be switched on in the settings or by `POST /faults`.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Which faults are on. `POST /faults` replaces them all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Extra time before each token, or before a plain service runs a call, in milliseconds.
    pub slow: u64,
    /// Time that an answer is held back once it is known, in milliseconds.
    pub late: u64,
    /// The process ends when the body of a request holds this word.
    pub crash: Option<Arc<str>>,
    /// A stream is cut after this many tokens; a plain service runs the call and cuts the answer.
    pub cut: Option<u64>,
    /// Answers carry the id and the text of another request.
    pub swap: bool,
    /// Answers end early, as if they were whole.
    pub truncate: bool,
    /// Orders with an old fencing number are obeyed.
    pub unfenced: bool,
    /// No announcements are sent.
    pub silent: bool,
    /// A plain service runs the call and then ends before it answers.
    pub die: bool,
    /// Work is refused with 503 before it runs.
    pub refuse: bool,
}
