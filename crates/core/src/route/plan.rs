//! A set of pass-through routes.

use std::sync::Arc;

use crate::id::Service;
use crate::id::Workspace;
use crate::unit::Millis;
use crate::unit::Tokens;

/// One whole set of routes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Chosen by the publisher; the highest is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: Limits,
    /// Who may call. Without it, no key is asked for.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Host that callers name, in lower case and without a port.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Millis,
    /// Time within which an answer is on time.
    pub target: Millis,
    /// Precedence; zero goes first.
    pub rank: u8,
    /// Services by weight.
    pub split: Vec<Share>,
    /// Most upstreams that may run one request.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
}

/// Which requests may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// They may, without harm.
    Idempotent,
    /// They may not.
    Once,
    /// A stream of events that may go on at another upstream after the last one that arrived.
    Resumable,
    /// A stream of events that may not.
    Stream,
}

impl Repeat {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Which service.
    pub service: Service,
    /// Weight among the services of the route.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Service,
    /// Connections that one of its upstreams takes from all routers together.
    pub connections: u32,
    /// Most tokens in one event of a stream; zero for a plain service.
    pub stride: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest time for the head of a request to arrive.
    pub receive: Millis,
    /// Longest time between two requests on a connection.
    pub idle: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: HEAD_BYTES,
            body: BODY_BYTES,
            receive: RECEIVE_MILLIS,
            idle: IDLE_MILLIS,
        }
    }
}

// In force before the first plan; usual figures of HTTP servers.
const HEAD_BYTES: usize = 16 << 10;
const BODY_BYTES: usize = 4 << 20;
const RECEIVE_MILLIS: Millis = Millis(10_000);
const IDLE_MILLIS: Millis = Millis(60_000);

/// A workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceSpec {
    /// Its name.
    pub name: Workspace,
    /// Its bearer keys.
    pub keys: Vec<Arc<str>>,
    /// Precedence over that of the routes, if any; zero goes first.
    pub rank: Option<u8>,
    /// Tokens that it may spend in all; unbounded if none.
    pub prepaid: Option<Tokens>,
}
