//! Front end of the gateway: finds the route and workspace of a request, reads its body and
//! reserves its tokens, then hands it to [`exchange`].

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::limit::RetryWindow;
use chestnutnotch_core::limit::WindowRules;
use chestnutnotch_core::room::Demand;
use chestnutnotch_core::roster::Role;
use chestnutnotch_core::route::Limits;
use chestnutnotch_core::route::RequestKind;
use chestnutnotch_core::route::Route;
use chestnutnotch_core::route::WorkspaceSpec;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::origin::Software;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use hyper::body::Body;
use hyper::body::Incoming;
use rand::RngExt;
use sha2::Digest;
use sha2::Sha256;

use crate::controllers::admission::Admission;
use crate::controllers::lifecycle::InFlightGuard;
use crate::controllers::lifecycle::Lifecycle;
use crate::controllers::lifecycle::Stage;
use crate::controllers::nodes::FoundOrigin;
use crate::controllers::nodes::Nodes;
use crate::controllers::plan::ActiveRoutes;
use crate::controllers::plan::Routes;
use crate::controllers::room::Admitted;
use crate::controllers::room::RoomHandle;
use crate::controllers::upstreams::Upstreams;
use crate::dialect::Dialect;
use crate::dialect::RequestMetadata;
use crate::edges::http::AnswerMemory;
use crate::edges::http::NotRun;
use crate::edges::http::ReadError;
use crate::edges::http::ReplyBody;
use crate::edges::http::RequestMemory;
use crate::edges::http::Traffic;
use crate::edges::http::drop_unread;
use crate::edges::http::pool::Pool;
use crate::edges::http::read_bounded;
use crate::edges::http::server::Handler;
use crate::edges::http::server::ServerLimits;
use crate::gateway::charge::AllotmentHandle;
use crate::gateway::exchange;
use crate::gateway::hedge::Hedging;
use crate::gateway::job::Job;
use crate::gateway::refusal::Refusal;
use crate::gateway::route_times::RouteTimes;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Longest wait for the body of a request whose caller gives no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry delay for a caller that takes up a stream while routers that may know its version do not
/// answer. Another router may reach them.
const UNANSWERED_RETRY_AFTER: Millis = Millis(250);

/// Gateway of a router: everything that serving pass-through requests depends on.
#[derive(Debug)]
pub struct Gateway {
    /// The routes in force.
    pub routes: Routes,
    /// Decodes and encodes the deployment's headers and documents.
    pub dialect: Arc<dyn Dialect>,
    /// Stage of the router and number of requests in flight.
    pub lifecycle: Lifecycle,
    /// Admission control of attempts.
    pub admission: Admission,
    /// Token allotments of the router.
    pub allotments: AllotmentHandle,
    /// Table of the known upstreams.
    pub upstreams: Upstreams,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Room on the router's network link.
    pub room: RoomHandle,
    /// Memory for the bodies of answers.
    pub memory: AnswerMemory,
    /// Memory for the bodies of requests.
    pub bodies: RequestMemory,
    /// Bound on the connections of callers.
    pub connections: usize,
    /// Membership of the nodes, by gossip.
    pub nodes: Nodes,
    /// Retry budget of each service.
    pub retry_budgets: RetryBudgets,
    /// Second attempts against the slowest answers.
    pub hedging: Hedging,
    /// How long the requests of each route take.
    pub route_times: RouteTimes,
    /// Longest wait for requests in flight when the router stops.
    pub drain_timeout: Duration,
    /// Clock for deadlines and periodic work.
    pub timer: Timer,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
}

/// Retry budgets of all services. A service gets its budget at its first request.
#[derive(Debug)]
pub struct RetryBudgets {
    rules: WindowRules,
    windows: Mutex<HashMap<Service, RetryWindow>>,
}

impl RetryBudgets {
    /// Creates retry budgets that all follow `rules`.
    pub fn new(rules: WindowRules) -> Self {
        Self {
            rules,
            windows: Mutex::default(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first(&self, now: Millis, service: &Service) {
        self.with_window(service, |window| window.record_first(now));
    }

    /// Takes one retry from the service's budget, which `routers` routers share. Returns whether
    /// there was one left.
    pub fn take(&self, now: Millis, service: &Service, routers: usize) -> bool {
        self.with_window(service, |window| window.take(now, routers))
    }

    /// Returns the number of retries that the service has left at this router.
    pub fn remaining(&self, now: Millis, service: &Service, routers: usize) -> u64 {
        self.with_window(service, |window| window.remaining(now, routers))
    }

    fn with_window<T>(
        &self,
        service: &Service,
        operation: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(service.clone());
        operation(window.or_insert_with(|| RetryWindow::new(self.rules)))
    }
}

impl Handler for Gateway {
    fn server_limits(&self) -> ServerLimits {
        let limits = self.limits();
        ServerLimits {
            head_bytes: limits.head_bytes,
            head_timeout: Duration::from_millis(limits.idle_timeout.max(limits.head_timeout).0),
            close_timeout: self.drain_timeout,
            connections: self.connections,
        }
    }

    fn end_oldest_body(&self) -> bool {
        self.bodies.end_oldest()
    }

    fn traffic(&self) -> Traffic {
        self.room.callers.clone()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let mut response = self.serve(request).await;
        if self.lifecycle.stage() == Stage::Stopping || !self.room.is_ready() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

impl Gateway {
    /// Returns the limits of the routes in force, or the defaults before there are routes.
    fn limits(&self) -> Limits {
        let routes = self.routes.current();
        routes.map_or_else(Limits::default, |routes| routes.index.plan().limits)
    }

    async fn serve(self: &Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let inflight = self.lifecycle.track_request();
        let start = self.timer.now();
        let (head, body) = request.into_parts();
        let (routes, route) = match self.find_route(&head) {
            Ok(found) => found,
            Err(refusal) => return self.refuse(refusal, None, "", start),
        };
        let metadata = match self.dialect.read_request(&head) {
            Ok(metadata) => metadata,
            Err(error) => return self.refuse(error.into(), Some(&route), "", start),
        };
        let id = metadata.attempt_id.clone();
        let received = ReceivedRequest {
            inflight,
            start,
            head,
            metadata,
            body,
        };
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(received, &routes, &route) => admitted,
            () = self.lifecycle.drained(&self.timer) => Err(Refusal::Stopping),
        };
        let job = match admitted {
            Ok(job) => job,
            Err(refusal) => return self.refuse(refusal, Some(&route), &id, start),
        };
        tokio::select! {
            biased;
            response = exchange::run(job) => response,
            () = self.lifecycle.drained(&self.timer) => self.abandon(&route, &id, start),
        }
    }

    /// Answers a request whose outcome is not known when the router has to end.
    fn abandon(&self, route: &Route, id: &str, start: Millis) -> Response<ReplyBody> {
        let refusal = Refusal::AnswerLost;
        let kind = kind_label(route.kind);
        self.metrics.requests.add(refusal.code());
        self.metrics.count_pass_through(kind, refusal.code());
        log::info!(
            target: "request",
            id, route = &*route.name, kind, outcome = refusal.code(), reason = "stopped",
            status = refusal.status().as_u16(), ms = self.timer.now().saturating_sub(start).0;
            "answered"
        );
        refusal.response(route.target_latency, None)
    }

    /// Checks that a request whose caller waits until `deadline` will be answered before the router
    /// ends, if it stops.
    fn check_stop(&self, route: &Route, deadline: Millis) -> Result<(), Refusal> {
        let Some(end) = self.lifecycle.drain_end() else {
            return Ok(());
        };
        let now = self.timer.now();
        let longest = deadline.saturating_sub(now);
        let expected = self.route_times.long_request(&route.name);
        let needed = expected.map_or(longest, |expected| expected.min(longest));
        match now + needed <= end {
            true => Ok(()),
            false => Err(Refusal::Stopping),
        }
    }

    /// Logs, counts and answers a request that is refused before an upstream is chosen.
    fn refuse(
        &self,
        refusal: Refusal,
        route: Option<&Route>,
        id: &str,
        start: Millis,
    ) -> Response<ReplyBody> {
        let evidence = NotRun::not_begun();
        let name = route.map_or("", |route| &*route.name);
        let kind = route.map_or("none", |route| kind_label(route.kind));
        self.metrics.requests.add(refusal.code());
        self.metrics.count_pass_through(kind, refusal.code());
        log::info!(
            target: "request",
            id, route = name, status = refusal.status().as_u16(), code = refusal.code(),
            routes = self.routes.current().map_or(0, |routes| routes.version()),
            ms = self.timer.now().saturating_sub(start).0, not_run = evidence.label();
            "refused"
        );
        let target = route.map_or(Millis::ZERO, |route| route.target_latency);
        refusal.response(target, Some(evidence))
    }

    /// Finds the route by the host and path of the request.
    fn find_route(&self, head: &Parts) -> Result<(Arc<ActiveRoutes>, Arc<Route>), Refusal> {
        let routes = self.routes.current().ok_or(Refusal::Starting)?;
        let host_header = head.headers.get(header::HOST);
        let host_header = host_header.and_then(|value| value.to_str().ok());
        let host = host_header.or_else(|| head.uri.host()).unwrap_or("");
        let route = routes.index.find(host, head.uri.path());
        let route = route.cloned().ok_or(Refusal::NoRoute)?;
        Ok((routes, route))
    }

    /// Checks the key, reads the body, draws a service and reserves the tokens of a request.
    async fn admit(
        self: &Arc<Self>,
        received: ReceivedRequest,
        routes: &ActiveRoutes,
        route: &Arc<Route>,
    ) -> Result<Job, Refusal> {
        let ReceivedRequest {
            inflight,
            start,
            head,
            metadata,
            body,
        } = received;
        let workspace = find_workspace(routes, route, &metadata)?;
        let timeout = metadata
            .timeout
            .map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let priority = workspace.and_then(|spec| spec.rank).unwrap_or(route.rank);
        let (body, admitted) = self.find_room(body, workspace, priority)?;
        let body = self
            .read_body(body, metadata.timeout.and(Some(timeout)))
            .await?;
        drop(admitted);
        self.check_stop(route, start + timeout)?;
        let workspace_name = workspace.map(|spec| spec.name.clone());
        let (service, release) = match route.kind.is_stream() && metadata.is_resume() {
            true => {
                let workspace = workspace_name.as_ref();
                let software = self.find_software(route, workspace, &metadata).await?;
                (software.service, Some(software.release))
            }
            false => {
                let draw = rand::rng().random::<f64>();
                let service = route.pick_service(draw).ok_or(Refusal::NoUpstream)?;
                (service.clone(), None)
            }
        };
        let budget = workspace.filter(|spec| spec.prepaid.is_some());
        let charge = match (budget, &metadata.prompt) {
            (Some(spec), Some(prompt)) => {
                let budget = Budget::from(spec.name.as_str());
                Some(
                    self.allotments
                        .reserve(&budget, prompt, &metadata.attempt_id, timeout)
                        .await?,
                )
            }
            _ => None,
        };
        let stride = routes.index.service(&service).map_or(0, |spec| spec.stride);
        Ok(Job {
            gateway: Arc::clone(self),
            inflight: Arc::new(inflight),
            fingerprint: fingerprint(workspace_name.as_ref(), &head, &body),
            route: Arc::clone(route),
            service,
            stride: stride.max(1).into(),
            metadata,
            head,
            body,
            workspace: workspace_name,
            priority,
            start,
            deadline: start + timeout,
            charge,
            tried: Vec::new(),
            release,
            runs: 0,
            sends: 0,
            paused: 0,
            reason: "",
        })
    }

    /// Finds the software that began the stream that a caller takes up. The route has to lead to its
    /// service still.
    async fn find_software(
        &self,
        route: &Route,
        workspace: Option<&Workspace>,
        metadata: &RequestMetadata,
    ) -> Result<Software, Refusal> {
        let start = self.timer.now();
        let first = metadata.resumes.as_deref().unwrap_or("");
        let found = match first {
            "" => FoundOrigin::Unknown,
            first => self.nodes.find_origin(stream_id(workspace, first)).await,
        };
        self.metrics.caller_resumes.add(found.label());
        let version = match &found {
            FoundOrigin::Software(software) => software.release.as_str(),
            _ => "",
        };
        log::info!(
            target: "request",
            id = &*metadata.attempt_id, resumes = first, after = metadata.resume_after.unwrap_or(0),
            version, found = found.label(), ms = self.timer.now().saturating_sub(start).0;
            "stream taken up"
        );
        match found {
            FoundOrigin::Software(software) if route.leads_to(&software.service) => Ok(software),
            FoundOrigin::Software(_) => Err(Refusal::VersionGone),
            FoundOrigin::Ambiguous | FoundOrigin::Unknown => {
                Err(Refusal::VersionUnknown { wait: None })
            }
            FoundOrigin::Unanswered => Err(Refusal::VersionUnknown {
                wait: Some(UNANSWERED_RETRY_AFTER),
            }),
        }
    }

    /// Admits a request by the room on the link. The body of a refused one is dropped behind the
    /// answer, since a close with unread bytes would reset the connection.
    fn find_room(
        &self,
        body: Incoming,
        workspace: Option<&WorkspaceSpec>,
        priority: u8,
    ) -> Result<(Incoming, Admitted), Refusal> {
        let demand = Demand {
            workspace: workspace.map(|spec| &spec.name),
            priority,
            body: body.size_hint().lower(),
        };
        match self.room.admit(demand) {
            Ok(admitted) => Ok((body, admitted)),
            Err(wait) => {
                drop_unread(body, BODY_TIMEOUT);
                Err(Refusal::NoRoom { wait })
            }
        }
    }

    async fn read_body(&self, body: Incoming, timeout: Option<Millis>) -> Result<Bytes, Refusal> {
        let timeout = timeout.map_or(BODY_TIMEOUT, |timeout| Duration::from_millis(timeout.0));
        let max_bytes = self.limits().body_bytes;
        let read = read_bounded(body, max_bytes, timeout, &self.bodies).await;
        read.map_err(|error| match error {
            ReadError::TooLarge(most) => Refusal::TooLarge(most),
            ReadError::NoRoom => Refusal::NoMemory,
            ReadError::TimedOut(_) | ReadError::Broken(_) => Refusal::NoBody,
        })
    }

    /// Requests allotments for all prepaid budgets of the routes in force, before callers need
    /// them.
    pub fn prefetch_allotments(&self) {
        let routes = self.routes.current();
        if let (Some(routes), Some(allotment)) = (routes, self.allotments.allotment()) {
            let plan = routes.index.plan();
            let workspaces = plan.workspaces.iter().flatten();
            let budgets = workspaces.filter(|spec| spec.prepaid.is_some());
            allotment.prefetch(budgets.map(|spec| Budget::from(spec.name.as_str())));
        }
    }

    /// Returns the number of routers that share the retry budgets, including this one.
    pub fn router_count(&self) -> usize {
        self.nodes.count(Role::Router)
    }
}

/// A request whose route is known and whose body was not read yet.
struct ReceivedRequest {
    inflight: InFlightGuard,
    start: Millis,
    head: Parts,
    metadata: RequestMetadata,
    body: Incoming,
}

/// Returns the workspace that the caller's key belongs to, or `None` for an unknown or missing key
/// where none is required: on public routes, and if the routes in force define no workspaces.
fn find_workspace<'a>(
    routes: &'a ActiveRoutes,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<&'a WorkspaceSpec>, Refusal> {
    let known = metadata
        .key
        .as_deref()
        .and_then(|key| routes.workspace(key));
    if known.is_none() && routes.is_keyed() && !route.public {
        return Err(Refusal::UnknownKey);
    }
    Ok(known)
}

/// Identifies the stream that an attempt of a caller begins: by its workspace and the attempt's id.
pub fn stream_id(workspace: Option<&Workspace>, attempt: &str) -> Fingerprint {
    let mut hasher = Sha256::new();
    hasher.update(workspace.map_or("", Workspace::as_str));
    hasher.update([0]);
    hasher.update(attempt);
    truncate(hasher)
}

/// Hashes the workspace, path and body of a request. Requests with the same fingerprint count as
/// the same request when upstreams crash.
fn fingerprint(workspace: Option<&Workspace>, head: &Parts, body: &[u8]) -> Fingerprint {
    let mut hasher = Sha256::new();
    hasher.update(workspace.map_or("", Workspace::as_str));
    hasher.update([0]);
    hasher.update(head.uri.path());
    hasher.update([0]);
    hasher.update(body);
    truncate(hasher)
}

/// Returns the first bytes of a hash.
fn truncate(hasher: Sha256) -> Fingerprint {
    let mut fingerprint = Fingerprint::default();
    let size = fingerprint.0.len();
    fingerprint.0.copy_from_slice(&hasher.finalize()[..size]);
    fingerprint
}

/// Returns the name of a kind of request in logs and metrics.
pub fn kind_label(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "once",
        RequestKind::Resumable => "resumable",
        RequestKind::Stream => "stream",
    }
}
