//! Pause that an upstream asks for when it refuses a request: the `Retry-After` header.

use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::MAX_PAUSE;
use http::HeaderMap;
use http::StatusCode;
use http::header;

/// What an answer says of a pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestedPause {
    /// It asks for none, or for one of no length.
    Absent,
    /// It asks for one that can't be read. Dates are not used, since clocks may differ.
    Invalid,
    /// It asks for this one.
    Lasts(Millis),
}

impl RequestedPause {
    /// Reads the head of an answer. Only a 503 asks for a pause; the time is in seconds, possibly with
    /// a fraction.
    pub fn read(status: StatusCode, headers: &HeaderMap) -> Self {
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return Self::Absent;
        }
        let Some(value) = headers.get(header::RETRY_AFTER) else {
            return Self::Absent;
        };
        let text = value.to_str().unwrap_or("").trim();
        let is_decimal = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        match text.parse::<f64>() {
            // The conversion of a number that is too large gives the maximum.
            Ok(seconds) if is_decimal => match (seconds * 1_000.0).ceil() as u64 {
                0 => Self::Absent,
                millis => Self::Lasts(Millis(millis).min(MAX_PAUSE)),
            },
            _ => Self::Invalid,
        }
    }
}
