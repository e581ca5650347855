//! First filter: routes a request by its path, and serves the pages for operators.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Availability;
use chestnutnotch_core::upstream::Load;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Serialize;

use crate::controllers::admission::Admission;
use crate::controllers::config::Config;
use crate::controllers::lifecycle::Lifecycle;
use crate::controllers::lifecycle::Stage;
use crate::controllers::spread::Spread;
use crate::controllers::upstreams::AnnouncementChange;
use crate::controllers::upstreams::MAX_ANNOUNCEMENT_BYTES;
use crate::controllers::upstreams::Upstreams;
use crate::edges::http::ReadError;
use crate::edges::http::ReplyBody;
use crate::edges::http::RequestMemory;
use crate::edges::http::read_bounded;
use crate::edges::http::server::Handler;
use crate::edges::http::server::ServerLimits;
use crate::filters::Chain;
use crate::filters::call;
use crate::filters::chat;
use crate::filters::refusal::Malformed;
use crate::filters::refusal::Refusal;
use crate::metrics::Metrics;

/// Timeout for the body of an announcement to arrive.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);
const CHAT_PATH: &str = "/v1/chat/completions";

/// Handles all HTTP requests to the router, also while it starts and stops.
#[derive(Debug)]
pub struct HttpHandler {
    /// The filter chain, set once the router has joined the ledger.
    pub chain: OnceLock<Arc<Chain>>,
    /// The configuration in force.
    pub config: Config,
    /// Stage of the router, and its requests in flight.
    pub lifecycle: Lifecycle,
    /// Known upstreams.
    pub upstreams: Upstreams,
    /// Admission control.
    pub gate: Admission,
    /// Exchange of announcements with the other routers.
    pub spread: Spread,
    /// Memory for the bodies of requests.
    pub bodies: RequestMemory,
    /// Bound on the connections of callers and upstreams.
    pub connections: usize,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
}

impl Handler for HttpHandler {
    fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            connections: self.connections,
            ..ServerLimits::default()
        }
    }

    fn end_oldest_body(&self) -> bool {
        self.bodies.end_oldest()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        match self.route(request).await {
            Ok(response) => response,
            Err(refusal) => {
                self.metrics.requests.add(refusal.code());
                refusal.response()
            }
        }
    }
}

impl HttpHandler {
    async fn route(&self, request: Request<Incoming>) -> Result<Response<ReplyBody>, Refusal> {
        let path = request.uri().path();
        if path == CHAT_PATH || path.starts_with(call::SERVICES_PREFIX) {
            return self.serve_caller(request).await;
        }
        match path {
            "/v1/announce" => {
                expect_method(&request, Method::POST, "POST")?;
                self.announce(request).await
            }
            "/healthz" | "/readyz" | "/metrics" | "/status" => {
                expect_method(&request, Method::GET, "GET")?;
                Ok(self.serve_operator(request.uri().path()))
            }
            _ => Err(Refusal::UnknownPath),
        }
    }

    /// Serves a chat or a call. Counts the request as in flight before it reads the stage: a stop
    /// waits for the requests counted so far, and those counted later see the stop.
    async fn serve_caller(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, Refusal> {
        let flight = self.lifecycle.track_request();
        let earlier_execution = call::earlier_execution(&request);
        match self.lifecycle.stage() {
            Stage::Starting => return Err(Refusal::Starting(earlier_execution)),
            Stage::Serving => {}
            Stage::Stopping | Stage::Closed => return Err(Refusal::Stopping(earlier_execution)),
        }
        let chain = self
            .chain
            .get()
            .ok_or(Refusal::Starting(earlier_execution))?;
        let chain = Arc::clone(chain);
        let config = self
            .config
            .current()
            .ok_or(Refusal::Starting(earlier_execution))?;
        if request.uri().path() == CHAT_PATH {
            expect_method(&request, Method::POST, "POST")?;
            return chat::serve(chain, config, flight, request).await;
        }
        call::serve(chain, config, flight, request).await
    }

    /// Takes an announcement of an upstream.
    async fn announce(&self, request: Request<Incoming>) -> Result<Response<ReplyBody>, Refusal> {
        let body = read_bounded(
            request.into_body(),
            MAX_ANNOUNCEMENT_BYTES,
            ANNOUNCEMENT_TIMEOUT,
            &self.bodies,
        )
        .await;
        let body = body.map_err(|error| match error {
            ReadError::TooLarge(max_bytes) => Refusal::TooLarge(max_bytes),
            ReadError::NoRoom => Refusal::NoMemory,
            ReadError::TimedOut(_) | ReadError::Broken(_) => Malformed::Body.into(),
        })?;
        let announcement: Announcement =
            serde_json::from_slice(&body).map_err(|_| Malformed::Announcement)?;
        announcement.check().map_err(Malformed::from)?;
        if self.spread.observe_direct(announcement) == AnnouncementChange::Availability {
            self.gate.refresh();
        }
        Ok(json_response(
            StatusCode::OK,
            &Acknowledgement { heard: true },
        ))
    }

    /// Serves the pages for operators and probes.
    fn serve_operator(&self, path: &str) -> Response<ReplyBody> {
        match path {
            "/healthz" => json_response(StatusCode::OK, &"ok"),
            "/readyz" => self.readiness(),
            "/metrics" => text_response(self.metrics.text()),
            _ => json_response(StatusCode::OK, &self.status()),
        }
    }

    /// Returns 200 while the router serves, and 503 otherwise.
    fn readiness(&self) -> Response<ReplyBody> {
        let stage = self.lifecycle.stage();
        let status = match stage {
            Stage::Serving => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let ready = Ready {
            ready: stage == Stage::Serving,
            stage: stage_name(stage),
        };
        json_response(status, &ready)
    }

    fn status(&self) -> Status {
        let current = self.config.current();
        let rows = self.upstreams.statuses();
        let chain = self.chain.get();
        Status {
            router: chain.map(|chain| chain.router.to_string()),
            stage: stage_name(self.lifecycle.stage()),
            revision: current.map_or(0, |current| current.revision().0),
            upstreams: rows.into_iter().map(UpstreamRow::from).collect(),
        }
    }
}

fn expect_method(
    request: &Request<Incoming>,
    method: Method,
    name: &'static str,
) -> Result<(), Refusal> {
    if *request.method() == method {
        return Ok(());
    }
    Err(Refusal::BadMethod(name))
}

/// Returns the name of a stage in answers.
fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Starting => "starting",
        Stage::Serving => "serving",
        Stage::Closed => "closed",
        Stage::Stopping => "stopping",
    }
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Response<ReplyBody> {
    // Plain structs always serialise; an empty body would still carry the status.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn text_response(body: String) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    let content_type = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Answer to an announcement.
#[derive(Serialize)]
struct Acknowledgement {
    heard: bool,
}

/// Answer of `/readyz`.
#[derive(Serialize)]
struct Ready {
    ready: bool,
    stage: &'static str,
}

/// Answer of `/status`.
#[derive(Serialize)]
struct Status {
    router: Option<String>,
    stage: &'static str,
    revision: u64,
    upstreams: Vec<UpstreamRow>,
}

/// One upstream in the answer of `/status`.
#[derive(Serialize)]
struct UpstreamRow {
    upstream: String,
    incarnation: u64,
    centre: String,
    usage: &'static str,
    flying: u32,
    load: Load,
    slots: u32,
}

impl From<chestnutnotch_core::upstream::UpstreamStatus> for UpstreamRow {
    fn from(row: chestnutnotch_core::upstream::UpstreamStatus) -> Self {
        Self {
            upstream: row.upstream.to_string(),
            incarnation: row.incarnation.0,
            centre: row.centre.to_string(),
            usage: match row.availability {
                Availability::Available => "used",
                Availability::Full => "full",
                Availability::Paused { .. } => "paused",
                Availability::Leaving => "leaving",
                Availability::Evacuated => "evacuated",
                Availability::Stale => "stale",
                Availability::Unresponsive => "silent",
                Availability::Ejected { .. } => "ejected",
            },
            flying: row.in_flight,
            load: row.load,
            slots: row.slots,
        }
    }
}
