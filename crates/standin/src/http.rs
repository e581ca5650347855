//! Small helpers for HTTP answers.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use serde::Serialize;

use crate::error::Cut;

/// Body of an answer; it may be cut.
pub(crate) type Body = BoxBody<Bytes, Cut>;

const BODY_BYTES: usize = 16 << 20;

/// The whole body of a request, or `None` if it is too large or breaks off.
pub(crate) async fn collect(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, BODY_BYTES).collect().await;
    whole.ok().map(|whole| whole.to_bytes())
}

/// A body of known bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A JSON answer.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", full(bytes))
}

/// An answer with a content type.
pub(crate) fn typed(status: StatusCode, kind: &'static str, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// An error in the form that model engines use.
pub(crate) fn error(status: StatusCode, code: &'static str) -> Response<Body> {
    #[derive(Serialize)]
    struct Answer {
        error: Detail,
    }
    #[derive(Serialize)]
    struct Detail {
        code: &'static str,
        message: &'static str,
    }
    let error = Detail {
        code,
        message: status.canonical_reason().unwrap_or(code),
    };
    json(status, &Answer { error })
}
