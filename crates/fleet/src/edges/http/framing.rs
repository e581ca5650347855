//! How the end of an HTTP/1.1 answer's body is marked (RFC 9112, section 6.3).

use http::header;
use http::response;
use hyper::body::Body;

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Its length is known: it was announced, or the answer can't have a body.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection. A body that was cut off can look like a complete one.
    Connection,
}

impl Framing {
    /// Returns the framing of a body that was not read yet.
    pub fn of(head: &response::Parts, body: &impl Body) -> Self {
        let last_encoding = head
            .headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back()
            .and_then(|value| value.to_str().ok()?.rsplit(',').next());
        let is_chunked =
            last_encoding.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"));
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            Self::Length
        } else if is_chunked {
            Self::Chunked
        } else {
            Self::Connection
        }
    }

    /// Returns the name of the framing in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}
