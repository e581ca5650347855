//! Evidence that an attempt at an upstream did not run and never will.
//!
//! A caller is told "not run", and a request that may run once is sent again, only with a
//! [`NotRun`]. An answer gives it only if it is tied to the request. One that is not proves nothing:
//! it may be a late copy of an answer to an earlier request on the same connection.

use chestnutnotch_core::upstream::ChoiceError;
use http::StatusCode;

use crate::edges::http::SendError;
use crate::edges::http::pool::ExchangeError;

/// What ties an answer to the request for which it arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tie {
    /// It repeats the id of the request.
    Id,
    /// It bears no id and is the first answer over its connection, so nothing can be left over.
    First,
}

impl Tie {
    /// Returns what ties an answer to the request with the id `sent`, which is empty if it has none.
    /// `answered` is the id in the answer, `exchanges` the number of answers that came before over
    /// the connection. No other request with the same id may have been sent over it.
    pub fn of(sent: &str, answered: Option<&str>, exchanges: u32) -> Option<Self> {
        match answered {
            None | Some("") => (exchanges == 0).then_some(Self::First),
            Some(answered) => (answered == sent).then_some(Self::Id),
        }
    }

    /// Returns the name of the tie in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Id => "id",
            Self::First => "first",
        }
    }
}

/// Evidence that an attempt did not run and never will. Built only from what proves it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRun(Proof);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Proof {
    NotBegun,
    NotConnected,
    NotWritten,
    Refused(Tie),
}

impl NotRun {
    /// The request was given up on before an upstream was chosen for this attempt.
    pub fn not_begun() -> Self {
        Self(Proof::NotBegun)
    }

    /// No upstream was chosen.
    pub fn from_choice(_error: &ChoiceError) -> Self {
        Self(Proof::NotBegun)
    }

    /// Returns the evidence in an error of a connection, if no byte of the request was written.
    pub fn from_exchange(error: &ExchangeError) -> Option<Self> {
        match error {
            ExchangeError::Unreachable { .. } => Some(Self(Proof::NotConnected)),
            ExchangeError::Closed => Some(Self(Proof::NotWritten)),
            ExchangeError::Broken(_) | ExchangeError::NoAnswer => None,
        }
    }

    /// Returns the evidence in an error of the HTTP client, if no byte of the request was written.
    pub fn from_send(error: &SendError) -> Option<Self> {
        match error {
            SendError::Unreachable => Some(Self(Proof::NotConnected)),
            SendError::Malformed(_) => Some(Self(Proof::NotWritten)),
            SendError::Broken | SendError::TimedOut => None,
        }
    }

    /// The upstream said so in an answer that is tied to the request.
    pub fn from_answer(tie: Tie) -> Self {
        Self(Proof::Refused(tie))
    }

    /// Returns the name of the evidence in logs.
    pub fn label(self) -> &'static str {
        match self.0 {
            Proof::NotBegun => "not_begun",
            Proof::NotConnected => "not_connected",
            Proof::NotWritten => "not_written",
            Proof::Refused(Tie::Id) => "refused_by_id",
            Proof::Refused(Tie::First) => "refused_first",
        }
    }
}

/// Returns whether callers take this status as the promise that the request has not run and never
/// will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
