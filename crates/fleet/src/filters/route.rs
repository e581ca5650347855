//! First filter: which part of the router a request is for.

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

use crate::controllers::config::Config;
use crate::controllers::gate::Gate;
use crate::controllers::lifecycle::Lifecycle;
use crate::controllers::lifecycle::Stage;
use crate::controllers::spread::Spread;
use crate::controllers::upstreams::ANNOUNCEMENT_BYTES;
use crate::controllers::upstreams::News;
use crate::controllers::upstreams::Upstreams;
use crate::edges::http::ReadError;
use crate::edges::http::ReplyBody;
use crate::edges::http::read_bounded;
use crate::edges::http::server::Handler;
use crate::filters::Chain;
use crate::filters::call;
use crate::filters::chat;
use crate::filters::refusal::Malformed;
use crate::filters::refusal::Refusal;
use crate::metrics::Metrics;

const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);
const CHAT_PATH: &str = "/v1/chat/completions";

/// What answers requests, also while the router starts and stops.
#[derive(Debug)]
pub struct HttpHandler {
    /// The filters, once the router has joined.
    pub chain: OnceLock<Arc<Chain>>,
    /// The configuration.
    pub config: Config,
    /// Where the router stands.
    pub lifecycle: Lifecycle,
    /// The upstreams.
    pub upstreams: Upstreams,
    /// Admission.
    pub gate: Gate,
    /// The other routers.
    pub spread: Spread,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Handler for HttpHandler {
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

    /// Passes a caller's request on. It is counted first: a stop waits for what was counted, and what
    /// is counted later sees the stop.
    async fn serve_caller(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, Refusal> {
        let flight = self.lifecycle.enter();
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

    async fn announce(&self, request: Request<Incoming>) -> Result<Response<ReplyBody>, Refusal> {
        let body = read_bounded(
            request.into_body(),
            ANNOUNCEMENT_BYTES,
            ANNOUNCEMENT_TIMEOUT,
        )
        .await;
        let body = body.map_err(|error| match error {
            ReadError::TooLarge(max_bytes) => Refusal::TooLarge(max_bytes),
            ReadError::Slow(_) | ReadError::Broken(_) => Malformed::Body.into(),
        })?;
        let announcement: Announcement =
            serde_json::from_slice(&body).map_err(|_| Malformed::Announcement)?;
        if self.spread.direct(announcement) == News::Standing {
            self.gate.refresh();
        }
        Ok(json(StatusCode::OK, &Acknowledgement { heard: true }))
    }

    fn serve_operator(&self, path: &str) -> Response<ReplyBody> {
        match path {
            "/healthz" => json(StatusCode::OK, &"ok"),
            "/readyz" => self.readiness(),
            "/metrics" => text(self.metrics.text()),
            _ => json(StatusCode::OK, &self.status()),
        }
    }

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
        json(status, &ready)
    }

    fn status(&self) -> Status {
        let current = self.config.current();
        let rows = self.upstreams.rows();
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

fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Starting => "starting",
        Stage::Serving => "serving",
        Stage::Closed => "closed",
        Stage::Stopping => "stopping",
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<ReplyBody> {
    // Plain structs always serialise; an empty body would still carry the status.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn text(body: String) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    let kind = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

#[derive(Serialize)]
struct Acknowledgement {
    heard: bool,
}

#[derive(Serialize)]
struct Ready {
    ready: bool,
    stage: &'static str,
}

#[derive(Serialize)]
struct Status {
    router: Option<String>,
    stage: &'static str,
    revision: u64,
    upstreams: Vec<UpstreamRow>,
}

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
                Availability::Leaving => "leaving",
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
