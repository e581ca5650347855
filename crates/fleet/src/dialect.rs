//! Interface to the formats that a deployment uses for pass-through requests, heartbeats and
//! routes.
//!
//! A deployment defines which headers carry an id, a deadline or a prompt, and how routes and
//! heartbeats are encoded. A [`Dialect`] decodes them into the types of this module and encodes
//! what upstreams are told. It makes no decisions on routing or retries.

use std::fmt::Debug;
use std::sync::Arc;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::PromptPart;
use chestnutnotch_core::id::Release;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::id::Workspace;
use chestnutnotch_core::route::Plan;
use chestnutnotch_core::route::PlanError;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::RequestRate;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AnnouncementError;
use chestnutnotch_core::upstream::LoadReport;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::request::Parts;
use thiserror::Error;

/// Decoder and encoder for the names and formats of one deployment.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Decodes and validates a set of routes.
    ///
    /// # Errors
    ///
    /// See [`DocumentError`].
    fn decode_plan(&self, source: &[u8]) -> Result<Plan, DocumentError>;

    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// See [`HeaderError`].
    fn read_request(&self, head: &Parts) -> Result<RequestMetadata, HeaderError>;

    /// Rewrites the headers of a request for an upstream. Removes the hop-by-hop headers, the
    /// caller's key and the headers that only the fleet may set, then adds those of `hop`.
    fn rewrite_headers(&self, headers: &mut HeaderMap, hop: &HopMetadata<'_>);

    /// Reads the status and headers of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the operation that a call to a control host requests, or `None` for an unknown call.
    fn operation(&self, method: &Method, path: &str) -> Option<Operation>;

    /// Decodes a heartbeat of `upstream`.
    ///
    /// # Errors
    ///
    /// See [`DocumentError`].
    fn decode_heartbeat(
        &self,
        upstream: &Upstream,
        body: &[u8],
    ) -> Result<Heartbeat, DocumentError>;

    /// Decodes the call by which an upstream leaves. Returns the start time of the upstream as Unix
    /// time in milliseconds, if the call states it.
    fn decode_leave(&self, body: &[u8]) -> Option<u64>;

    /// Returns the path of the readiness check of a load balancer.
    fn ready_path(&self) -> &'static str;
}

/// Most values in a set of routes, at any depth. Decoded, each takes some tens of bytes beside its text.
pub const MAX_PLAN_VALUES: usize = 1 << 19;

/// Why a heartbeat or a set of routes is refused.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The document is not valid JSON, or a field is missing or has the wrong type.
    #[error("not readable: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The document has more values than this.
    #[error("more than {0} JSON values")]
    Values(usize),
    /// A field has a value outside its set of known values.
    #[error("{field}: {value:?} is not known")]
    Unknown {
        /// Name of the field.
        field: &'static str,
        /// The unknown value.
        value: String,
    },
    /// The routes are inconsistent.
    #[error(transparent)]
    Invalid(#[from] PlanError),
    /// No upstream can have sent the heartbeat.
    #[error(transparent)]
    Announcement(#[from] AnnouncementError),
}

/// A header, given by its name, that can't be parsed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("header {0} is malformed")]
pub struct HeaderError(pub &'static str);

/// Decoded headers of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller, empty if none was sent. An answer with another id is
    /// rejected.
    pub attempt_id: Arc<str>,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Millis>,
    /// API key of the caller.
    pub key: Option<Arc<str>>,
    /// Size and parts of the prompt; `None` for requests that use no tokens.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream, if it resumes one.
    pub resumes: Option<Arc<str>>,
}

impl RequestMetadata {
    /// Returns whether the caller takes up a stream that began before.
    pub fn is_resume(&self) -> bool {
        self.resume_after.is_some() || self.resumes.is_some()
    }
}

/// Size of a prompt, with the parts by which upstreams cache it.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: Tokens,
    /// Maximum number of tokens to generate.
    pub max_output: Tokens,
    /// Hashes of the prompt's prefixes, shortest first. Each covers one part and all parts before
    /// it.
    pub prefixes: Vec<u64>,
    /// The parts themselves, whatever comes before them.
    pub parts: Vec<PromptPart>,
    /// Number of tokens in each part.
    pub part_sizes: Vec<u64>,
}

/// Headers that the router adds to a request for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct HopMetadata<'a> {
    /// Time within which the upstream has to answer.
    pub timeout: Millis,
    /// The upstream that the request is meant for. Another one that has taken over the address
    /// refuses it.
    pub upstream: &'a Upstream,
    /// Workspace of the caller, if its key is known.
    pub workspace: Option<&'a Workspace>,
    /// Priority in the upstream's queue; zero is served first.
    pub priority: u8,
    /// Number of the last event that arrived, if the upstream is to resume a stream after it.
    pub resume_after: Option<u64>,
}

/// Decoded headers of an upstream's answer.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the caller's attempt that it answers.
    pub attempt_id: Option<Arc<str>>,
    /// Whether it has the signature of an upstream.
    pub signed: bool,
    /// Whether it states that the request was not run.
    pub not_run: bool,
    /// Load of the upstream, if reported.
    pub load: Option<LoadReport>,
    /// Rate of requests that the upstream takes.
    pub rate: NamedRate,
    /// Whether it states that the upstream leaves.
    pub leaving: bool,
}

/// Rate of requests that an answer names: what the upstream takes from all routers together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NamedRate {
    /// The answer names none.
    #[default]
    Absent,
    /// The answer names one that is zero, negative or no number. It sets no limit.
    Invalid,
    /// The answer names this one.
    Limit(RequestRate),
}

/// Decoded heartbeat of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// State of the upstream.
    pub announcement: Announcement,
    /// Version of its software; `None` if the heartbeat states none that can be read.
    pub release: Option<Release>,
}

/// Operation that a call to a control host requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Announces an upstream and its state.
    Heartbeat(Upstream),
    /// Announces that an upstream is shutting down.
    Leave(Upstream),
    /// Publishes a set of routes.
    Publish,
    /// Returns the routes in force.
    Read,
    /// Orders the evacuation of a data centre.
    Evacuate(DataCentre),
    /// Withdraws the evacuation of a data centre.
    Restore(DataCentre),
}
