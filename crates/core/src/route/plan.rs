//! Decoded plan: pass-through routes, services, limits and workspaces.

use std::sync::Arc;

use crate::id::Service;
use crate::id::Workspace;
use crate::unit::Millis;
use crate::unit::Tokens;

/// A complete set of routes; replaced only as a whole.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Version that the publisher chose; the plan with the highest one is in force.
    pub version: u64,
    /// Routes; no two have the same host and prefix.
    pub routes: Vec<Route>,
    /// Services that the routes lead to.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Workspaces that may call, each with its keys; no key is required if this is `None`.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
}

/// A rule for requests to one host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name in logs and errors.
    pub name: Arc<str>,
    /// Host in the caller's request, in lower case and without a port.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Kind of the requests: whether they may be retried, and whether the answer is a stream.
    pub kind: RequestKind,
    /// Time within which the caller gets the whole answer or an error.
    pub timeout: Millis,
    /// Target latency of an answer; retries and retry hints are derived from it.
    pub target_latency: Millis,
    /// Rank under load; zero is served first.
    pub rank: u8,
    /// Services among which requests are split, with their weights.
    pub split: Vec<WeightedService>,
    /// Most upstreams that may run one request, the first included.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Kind of a request: whether it may run more than once, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A request may run more than once without harm.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// A stream of events that another upstream can resume after the last event received.
    Resumable,
    /// A stream of events that can't be resumed.
    Stream,
}

impl RequestKind {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// A service and its weight in the traffic split of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Service,
    /// Weight relative to the other services of the route; zero for no requests.
    pub weight: u32,
}

/// A service that routes lead to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSpec {
    /// Name that routes and announcements refer to.
    pub name: Service,
    /// Most connections that one upstream of the service takes from all routers together.
    pub max_connections: u32,
    /// Most tokens in one event of a stream; zero for a service that generates none.
    pub stride: u32,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest request head: request line and headers.
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Time within which the head of a request has to arrive.
    pub head_timeout: Millis,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

// Limits before the first plan, and for plans without any; as usual for HTTP servers.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
const DEFAULT_BODY_BYTES: usize = 4 << 20;
const DEFAULT_HEAD_TIMEOUT: Millis = Millis(10_000);
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(60_000);

/// A workspace that may call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: Workspace,
    /// Bearer keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Rank that replaces the one of the routes, if any; zero is served first.
    pub rank: Option<u8>,
    /// Total tokens that it may spend, those already spent included; unlimited if `None`.
    pub prepaid: Option<Tokens>,
}
