//! Whether a node takes new connections, and its metrics.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use crate::controllers::lifecycle::Lifecycle;
use crate::controllers::lifecycle::Stage;
use crate::edges::http::ReplyBody;
use crate::edges::http::server::Handler;
use crate::metrics::Metrics;

/// Answers the balancer and the collector of metrics.
#[derive(Debug)]
pub struct Status {
    /// Where the node stands.
    pub lifecycle: Lifecycle,
    /// Path of the balancer's question.
    pub ready: &'static str,
    /// The counters.
    pub metrics: Arc<Metrics>,
}

const METRICS_PATH: &str = "/metrics";

impl Handler for Status {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path();
        if path == self.ready {
            return match self.lifecycle.stage() {
                Stage::Serving => reply(StatusCode::OK, "ready\n"),
                _ => reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
        }
        if path == METRICS_PATH {
            return reply(StatusCode::OK, self.metrics.text());
        }
        reply(StatusCode::NOT_FOUND, "not found\n")
    }
}

fn reply(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(text));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
