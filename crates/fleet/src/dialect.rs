//! How pass-through requests, upstreams and operators speak.
//!
//! The product forwards requests of a form that a deployment defines: which headers carry an id, a
//! deadline or a prompt, and how routes and heartbeats are written. A [`Dialect`] knows the names and
//! decodes them, once, into the types here; it decides nothing.

use std::fmt::Debug;
use std::sync::Arc;

use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::route::Plan;
use chestnutnotch_core::route::PlanError;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Load;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::request::Parts;
use thiserror::Error;

/// The form of a deployment.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Decodes and checks a set of routes.
    ///
    /// # Errors
    ///
    /// See [`DocumentError`].
    fn decode_plan(&self, source: &[u8]) -> Result<Plan, DocumentError>;

    /// Reads what a request's headers ask for.
    ///
    /// # Errors
    ///
    /// See [`HeaderError`].
    fn read_request(&self, head: &Parts) -> Result<RequestMetadata, HeaderError>;

    /// Rewrites the headers of a request for an upstream: what concerns the caller's connection, the
    /// caller's key and what only the fleet may set goes; what the hop says is added.
    fn rewrite_headers(&self, headers: &mut HeaderMap, hop: &HopMetadata<'_>);

    /// Reads what an upstream's answer says of itself.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Which operation a call to a control host is.
    fn operation(&self, method: &Method, path: &str) -> Option<Operation>;

    /// Decodes a heartbeat.
    ///
    /// # Errors
    ///
    /// See [`DocumentError`].
    fn decode_heartbeat(
        &self,
        upstream: &Upstream,
        body: &[u8],
    ) -> Result<Announcement, DocumentError>;

    /// When the upstream that leaves was started, as far as its call says.
    fn decode_leave(&self, body: &[u8]) -> Option<u64>;

    /// Path of the question whether a router takes new connections.
    fn ready_path(&self) -> &'static str;
}

/// Why a document is refused.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// It can't be read.
    #[error("not readable: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A value is not one of those that are known.
    #[error("{field}: {value:?} is not known")]
    Unknown {
        /// Which field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// It contradicts itself.
    #[error(transparent)]
    Invalid(#[from] PlanError),
}

/// A header that can't be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("header {0} is malformed")]
pub struct HeaderError(pub &'static str);

/// What a request asks for.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller; the answer has to bear it.
    pub attempt_id: Arc<str>,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// Size and parts of the prompt, for model requests.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller has, if it asks for the rest of a stream.
    pub resume_after: Option<u64>,
}

/// Size and parts of a prompt.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: Tokens,
    /// Most tokens to be generated.
    pub max_output: Tokens,
    /// Hashes of its prefixes, shortest first: each part with all before it.
    pub prefixes: Vec<u64>,
    /// Tokens of each part.
    pub part_sizes: Vec<u64>,
}

/// What an upstream is told besides the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct HopMetadata<'a> {
    /// How long the answer may take.
    pub timeout: Millis,
    /// Which upstream it is meant for.
    pub upstream: &'a Upstream,
    /// Whose request it is.
    pub workspace: Option<&'a Workspace>,
    /// Precedence at the upstream; zero goes first.
    pub priority: u8,
    /// The last event that has arrived, if the stream goes on after it.
    pub resume_after: Option<u64>,
}

/// What an upstream's answer says of itself.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub attempt_id: Option<Arc<str>>,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Whether it says that the request was not run.
    pub not_run: bool,
    /// The load that it reports.
    pub load: Option<Load>,
}

/// What a call to a control host is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// An upstream says that it lives.
    Heartbeat(Upstream),
    /// An upstream says that it is going.
    Leave(Upstream),
    /// An operator publishes routes.
    Publish,
    /// The routes in force are asked for.
    Read,
}
