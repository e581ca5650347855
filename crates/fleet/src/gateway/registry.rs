//! HTTP interface of a control host: heartbeats of upstreams, and routes published by operators.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::evacuation::Evacuate;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::route::Adopt;
use chestnutnotch_core::route::Plan;
use chestnutnotch_core::route::Prepaid;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::upstream::AnnouncementError;
use chestnutnotch_core::upstream::ReleaseNotice;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use thiserror::Error;

use crate::controllers::nodes::Nodes;
use crate::controllers::upstreams::MAX_ANNOUNCEMENT_BYTES;
use crate::dialect::Dialect;
use crate::dialect::DocumentError;
use crate::dialect::Operation;
use crate::edges::http::ReadError;
use crate::edges::http::ReplyBody;
use crate::edges::http::RequestMemory;
use crate::edges::http::read_bounded;
use crate::edges::http::server::Handler;
use crate::edges::http::server::ServerLimits;
use crate::edges::rpc::ControlClient;
use crate::edges::rpc::ControlError;
use crate::gateway::outage::Outage;
use crate::gateway::read::RoutesReader;

/// Longest wait for the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for a quorum. Callers switch to another host after a second without an answer.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(900);

/// Furthest that an upstream's clock may be ahead of this host's.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(24 * 60 * 60);

/// Largest head of a call, in bytes. A path that is too long for a name is refused as such.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Largest set of routes, in bytes: the limit of one command in the replicated log.
const MAX_ROUTES_BYTES: usize = 8 << 20;

/// Handler for the calls of upstreams and operators to a control host.
#[derive(Debug)]
pub struct Registry {
    /// Decodes the calls.
    pub dialect: Arc<dyn Dialect>,
    /// Membership of the nodes, which also spreads announcements of upstreams.
    pub nodes: Nodes,
    /// Client of the control replicas.
    pub control: ControlClient,
    /// Reads of the published routes.
    pub(super) reader: RoutesReader,
    /// Memory for the bodies of calls.
    pub bodies: RequestMemory,
    /// Bound on open connections.
    pub connections: usize,
    /// Data centres that operators may evacuate, besides those of known nodes and upstreams.
    pub centres: Vec<DataCentre>,
    /// Time without a quorum, for the log.
    pub(super) outage: Outage,
}

/// Why a call is refused.
#[derive(Debug, Error)]
enum CallError {
    #[error("no such call")]
    UnknownCall,
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    #[error("the body did not arrive")]
    NoBody,
    #[error("no memory for the body now")]
    NoMemory,
    #[error(transparent)]
    Document(#[from] DocumentError),
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error(transparent)]
    Refused(#[from] Refusal),
    #[error("unexpected reply from the control replicas")]
    Unexpected,
    #[error("no routes yet")]
    NoRoutes,
}

impl CallError {
    fn status(&self) -> StatusCode {
        match self {
            Self::UnknownCall => StatusCode::NOT_FOUND,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => StatusCode::REQUEST_TIMEOUT,
            Self::Document(_) | Self::Refused(Refusal::BadCentre) => StatusCode::BAD_REQUEST,
            Self::Refused(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Control(_) | Self::Unexpected | Self::NoMemory | Self::NoRoutes => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

impl Handler for Registry {
    fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            head_bytes: MAX_HEAD_BYTES,
            connections: self.connections,
            ..ServerLimits::default()
        }
    }

    fn end_oldest_body(&self) -> bool {
        self.bodies.end_oldest()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path();
        let operation = self.dialect.operation(request.method(), path);
        let outcome = match operation {
            Some(operation) => self.execute(&operation, request.into_body()).await,
            None => Err(CallError::UnknownCall),
        };
        match outcome {
            Ok(body) => json_response(StatusCode::OK, body),
            Err(error) => {
                log::warn!(status = error.status().as_u16(), error:% = error; "call refused");
                let body = serde_json::json!({ "error": error.to_string() });
                json_response(error.status(), Bytes::from(body.to_string()))
            }
        }
    }
}

impl Registry {
    async fn execute(&self, operation: &Operation, body: Incoming) -> Result<Bytes, CallError> {
        match operation {
            Operation::Heartbeat(upstream) => {
                let body = read_body(body, MAX_ANNOUNCEMENT_BYTES, &self.bodies).await?;
                let heartbeat = self.dialect.decode_heartbeat(upstream, &body)?;
                let announcement = heartbeat.announcement;
                announcement.check().map_err(DocumentError::from)?;
                check_start(announcement.incarnation).map_err(DocumentError::from)?;
                let incarnation = announcement.incarnation;
                self.nodes.announce(announcement);
                if let Some(release) = heartbeat.release {
                    self.nodes.announce_release(ReleaseNotice {
                        upstream: upstream.clone(),
                        incarnation,
                        release: Some(release),
                    });
                }
                Ok(EMPTY_JSON)
            }
            Operation::Leave(upstream) => {
                let body = read_body(body, MAX_ANNOUNCEMENT_BYTES, &self.bodies).await?;
                let started = self.dialect.decode_leave(&body).map(Incarnation);
                if let Some(started) = started {
                    check_start(started).map_err(DocumentError::from)?;
                }
                self.nodes.announce_leave(upstream, started);
                Ok(EMPTY_JSON)
            }
            Operation::Publish => {
                let source = read_body(body, MAX_ROUTES_BYTES, &self.bodies).await?;
                self.publish(source).await
            }
            Operation::Read => {
                let published = self.reader.read(&self.control, QUORUM_TIMEOUT).await;
                self.outage.observe(published)?.ok_or(CallError::NoRoutes)
            }
            Operation::Evacuate(centre) => self.evacuate(centre, true).await,
            Operation::Restore(centre) => self.evacuate(centre, false).await,
        }
    }

    /// Submits the order to evacuate a data centre, or its withdrawal, and announces the result.
    async fn evacuate(&self, centre: &DataCentre, active: bool) -> Result<Bytes, CallError> {
        let listed = self.centres.contains(centre) || self.nodes.has_centre(centre);
        let command = Command::Evacuate(Evacuate {
            centre: centre.clone(),
            active,
            listed,
        });
        let submitted = self.control.submit(command, QUORUM_TIMEOUT).await;
        match self.outage.observe(submitted)? {
            Reply::Evacuations(evacuations) => {
                let version = evacuations.version;
                log::info!(centre:% = centre, active, version; "evacuation acknowledged");
                self.nodes.announce_evacuations(&evacuations);
                Ok(EMPTY_JSON)
            }
            Reply::Refused(refusal) => Err(refusal.into()),
            _ => Err(CallError::Unexpected),
        }
    }

    /// Validates a set of routes and submits it to the control replicas.
    async fn publish(&self, source: Bytes) -> Result<Bytes, CallError> {
        // Decoded, the routes take more than their text: they are dropped before the wait for a quorum.
        let (version, routes, prepaid) = {
            let plan = self.dialect.decode_plan(&source)?;
            (plan.version, plan.routes.len(), prepaid_totals(&plan))
        };
        let adopt = Adopt {
            version,
            source: source.to_vec().into(),
            prepaid,
        };
        let submitted = self
            .control
            .submit(Command::Adopt(adopt), QUORUM_TIMEOUT)
            .await;
        match self.outage.observe(submitted) {
            Ok(Reply::Adopted(held)) => {
                log::info!(version, held, routes; "routes acknowledged");
                Ok(EMPTY_JSON)
            }
            Ok(_) => Err(CallError::Unexpected),
            Err(error) => Err(error.into()),
        }
    }
}

/// Checks that an upstream's start, in Unix milliseconds, is not in the future. A later start at the same
/// address, or of the same name, would not be believed.
fn check_start(started: Incarnation) -> Result<(), AnnouncementError> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 says nothing of the start.
    let latest = now.map_or(u128::MAX, |now| (now + MAX_CLOCK_DIFFERENCE).as_millis());
    match u128::from(started.0) <= latest {
        true => Ok(()),
        false => Err(AnnouncementError::Number {
            name: "incarnation",
            value: started.0,
        }),
    }
}

const EMPTY_JSON: Bytes = Bytes::from_static(b"{}");

/// Returns the total of each prepaid budget in a plan.
fn prepaid_totals(plan: &Plan) -> Vec<Prepaid> {
    let workspaces = plan.workspaces.iter().flatten();
    let totals = workspaces.filter_map(|spec| {
        Some(Prepaid {
            budget: Budget::from(spec.name.as_str()),
            total: spec.prepaid?,
        })
    });
    totals.collect()
}

async fn read_body(
    body: Incoming,
    max_bytes: usize,
    memory: &RequestMemory,
) -> Result<Bytes, CallError> {
    let read = read_bounded(body, max_bytes, BODY_TIMEOUT, memory).await;
    read.map_err(|error| match error {
        ReadError::TooLarge(most) => CallError::TooLarge(most),
        ReadError::NoRoom => CallError::NoMemory,
        ReadError::TimedOut(_) | ReadError::Broken(_) => CallError::NoBody,
    })
}

fn json_response(status: StatusCode, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
