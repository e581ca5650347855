//! Faults that tests turn on in the settings or by `POST /faults`.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Faults that are on. `POST /faults` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Additional time for each token, or before a plain service runs a call, in milliseconds.
    pub slow: u64,
    /// Delay of a finished answer, or of the first event of a stream, in milliseconds.
    pub late: u64,
    /// The stand-in crashes when the body of a request contains this word.
    pub crash: Option<Arc<str>>,
    /// The connection of a stream is closed after this many tokens. A plain service runs the call
    /// and closes the connection instead of answering, whatever the number is.
    pub cut: Option<u64>,
    /// Answers of an engine have the id and the text of another request.
    pub swap: bool,
    /// Answers of an engine end early, without an error of the connection.
    pub truncate: bool,
    /// Orders with an old fencing number are executed.
    pub unfenced: bool,
    /// No announcements are sent.
    pub silent: bool,
    /// A plain service crashes after it ran a call and before it answers.
    pub die: bool,
    /// Requests are refused with status 503 before they run.
    pub refuse: bool,
    /// Seconds without requests that these refusals ask for.
    pub pause: Option<u64>,
    /// The latest refusal of a chat or call is written once more on its connection, in place of the
    /// answer to a later one, which runs.
    pub repeat_refusal: bool,
    /// The latest answer with status 200 to a call is written once more on its connection, in place
    /// of the answer to a later one, which runs.
    pub repeat_answer: bool,
    /// The latest acknowledgement of a cancel is written once more on its connection, in place of
    /// that of a later cancel, which is executed.
    pub repeat_cancel: bool,
    /// A resume on a connection that has carried a stream is answered with all events of the request
    /// instead of the rest.
    pub repeat_stream: bool,
    /// Answers of an engine do not repeat the request id in a header.
    pub unnamed: bool,
    /// An engine runs a chat and answers it with this status.
    pub status: Option<u16>,
}
