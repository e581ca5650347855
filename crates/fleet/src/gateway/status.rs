//! HTTP endpoint for readiness checks and metrics.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use crate::controllers::lifecycle::Lifecycle;
use crate::controllers::lifecycle::Stage;
use crate::controllers::room::RoomHandle;
use crate::edges::http::ReplyBody;
use crate::edges::http::server::Handler;
use crate::edges::http::server::ServerLimits;
use crate::metrics::Metrics;

/// Handler for the readiness checks of a load balancer and for scrapes of the metrics.
#[derive(Debug)]
pub struct StatusHandler {
    /// Stage of the node; it is ready only while serving.
    pub lifecycle: Lifecycle,
    /// Room of a router on its link.
    pub room: Option<RoomHandle>,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
}

const METRICS_PATH: &str = "/metrics";

/// Bound on open connections: callers are a balancer and some scrapers.
const MAX_CONNECTIONS: usize = 64;

/// Bound on the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

impl Handler for StatusHandler {
    fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            head_bytes: MAX_HEAD_BYTES,
            connections: MAX_CONNECTIONS,
            ..ServerLimits::default()
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path();
        if path == self.ready_path {
            let has_room = self.room.as_ref().is_none_or(RoomHandle::is_ready);
            return match self.lifecycle.stage() {
                Stage::Serving if has_room => text_response(StatusCode::OK, "ready\n"),
                _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
        }
        if path == METRICS_PATH {
            return text_response(StatusCode::OK, self.metrics.text());
        }
        text_response(StatusCode::NOT_FOUND, "not found\n")
    }
}

fn text_response(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
