//! Helpers for HTTP requests and responses.

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
use crate::faults::Faults;

/// Body of a response, which may end with [`Cut`].
pub(crate) type Body = BoxBody<Bytes, Cut>;

/// Largest body of a request.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Reads the whole body of a request. Returns `None` if it is too large or the connection fails.
pub(crate) async fn collect(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, MAX_BODY_BYTES).collect().await;
    whole.ok().map(|whole| whole.to_bytes())
}

/// Returns a body with these bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a response in JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", full(bytes))
}

/// Returns a response with a content type.
pub(crate) fn typed(status: StatusCode, kind: &'static str, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Returns the refusal of a request for overload, which may ask for a pause.
pub(crate) fn overloaded(faults: &Faults) -> Response<Body> {
    let mut answer = error(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
    if let Some(seconds) = faults.pause {
        let headers = answer.headers_mut();
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    answer
}

/// Returns an error response in the format of model engines. `code` tells errors with the same
/// status apart.
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
