//! Refusals: the error answers that the router itself gives to callers.

use bytes::Bytes;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::upstream::AnnouncementError;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;
use thiserror::Error;

use crate::edges::http::ReplyBody;

/// Whether a refused request ran at an upstream, so that the caller knows whether a resend is safe.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream ran it.
    NotRun,
    /// It was sent, or may have been sent before, and whether it ran is not known.
    Unknown,
    /// It ran, completely or in part.
    Ran,
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Malformed {
    /// The body is not JSON of the expected form.
    #[error("the body is not a chat request in JSON")]
    Json,
    /// The body has more values than this.
    #[error("the body has more than {0} JSON values")]
    Values(usize),
    /// There are no messages.
    #[error("messages is empty")]
    NoMessages,
    /// A content part of a message is not text.
    #[error("only text content is served")]
    Content,
    /// More than one choice is asked for.
    #[error("only one choice is served")]
    Choices,
    /// Tools are requested without a stream.
    #[error("tools are served only with stream set to true")]
    Tools,
    /// The output limit is zero or not a number.
    #[error("max_tokens has to be a whole number above zero")]
    Limit,
    /// The idempotency key is empty, too long or not visible ASCII.
    #[error("Idempotency-Key has to be 1 to 128 visible ASCII characters")]
    Key,
    /// The body did not arrive completely, or not in time.
    #[error("the body did not arrive whole")]
    Body,
    /// An announcement is not JSON of the expected form.
    #[error("the body is not an announcement in JSON")]
    Announcement,
    /// No upstream can have sent the announcement.
    #[error(transparent)]
    InvalidAnnouncement(#[from] AnnouncementError),
}

/// Why a request is refused.
#[derive(Clone, Debug, Error)]
pub enum Refusal {
    /// No bearer key, or none that is configured.
    #[error("the bearer key is missing or not known")]
    UnknownKey,
    /// The model is not configured for the workspace.
    #[error("no model named {0} is configured for this workspace")]
    UnknownModel(Model),
    /// The service is not configured for the workspace.
    #[error("no service named {0} is configured for this workspace")]
    UnknownService(Service),
    /// The path is not served.
    #[error("nothing is served here")]
    UnknownPath,
    /// The path is served with this other method only.
    #[error("this path is served with method {0}")]
    BadMethod(&'static str),
    /// The request is malformed.
    #[error("{0}")]
    Malformed(#[from] Malformed),
    /// The body is larger than this limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The bodies of requests take all the memory that they may.
    #[error("no memory for the body now")]
    NoMemory,
    /// The idempotency key was used with another body.
    #[error("the idempotency key was used with another body")]
    KeyReused,
    /// The service requires an idempotency key.
    #[error("this service requires an Idempotency-Key header")]
    KeyRequired,
    /// The rest of the whole budget is below the worst case of the request.
    #[error("the prepaid budget can't cover the worst case of this request")]
    BudgetSpent,
    /// The ledger did not grant this router enough tokens in time.
    #[error("the router's part of the budget is used up for now")]
    AllotmentShort,
    /// The router has no confirmed configuration yet.
    #[error("the router is starting; this submission was not sent")]
    Starting(Execution),
    /// The router is stopping.
    #[error("the router is stopping; this submission was not sent")]
    Stopping(Execution),
    /// No quorum of the control replicas answered.
    #[error("no control quorum answers; this submission was not sent")]
    NoQuorum(Execution),
    /// No usable upstream serves the model or service.
    #[error("no usable upstream serves this")]
    NoUpstream,
    /// All upstreams that serve it are full.
    #[error("all upstreams that serve this are full")]
    Overloaded,
    /// All upstreams that serve it asked this router for a pause.
    #[error("all upstreams that serve this asked for a pause")]
    Paused {
        /// Seconds until a resend may be served.
        retry_after: u64,
    },
    /// Admission control shed it under load before it ran.
    #[error("too many requests wait for the upstreams that serve this")]
    Shed {
        /// Seconds until a resend may be served.
        retry_after: u64,
    },
    /// The request is quarantined: upstreams crashed, or seem to have crashed, while they ran it.
    #[error("this request stopped upstreams that ran it; it is not run again")]
    Quarantined {
        /// Seconds until a resend may be served.
        retry_after: u64,
        /// Whether this submission ran.
        execution: Execution,
    },
    /// Every attempt failed.
    #[error("every attempt at an upstream failed")]
    Failed(Execution),
    /// The upstream refused the request with this client error status.
    #[error("the upstream refused the request with status {0}")]
    Rejected(u16),
    /// The deadline passed before the answer was complete.
    #[error("no whole answer in time")]
    Deadline(Execution),
    /// The answer is complete, but its bill could not be stored in time.
    #[error("the answer's bill could not be stored in time")]
    BillUnsafe,
    /// The outcome of a non-idempotent call is not known.
    #[error("the call was sent and its outcome is not known; it is not sent again")]
    OutcomeUnknown,
    /// A non-idempotent call with the same key is running, or may be.
    #[error("a call with this idempotency key is running")]
    CallRunning,
}

/// Retry delay for most refusals after which a resend may be served.
const SHORT_RETRY_SECONDS: u64 = 1;
/// Retry delay while no quorum or no upstream is available.
const LONG_RETRY_SECONDS: u64 = 5;
/// Retry delay for a spent budget, which an operator has to top up.
const BUDGET_RETRY_SECONDS: u64 = 60;

impl Refusal {
    /// Returns the stable code of the refusal.
    pub fn code(&self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::UnknownModel(_) => "unknown_model",
            Self::UnknownService(_) => "unknown_service",
            Self::UnknownPath => "unknown_path",
            Self::BadMethod(_) => "bad_method",
            Self::Malformed(Malformed::Key) => "bad_header",
            Self::Malformed(_) => "malformed",
            Self::TooLarge(_) => "too_large",
            Self::NoMemory => "memory",
            Self::KeyReused => "key_reused",
            Self::KeyRequired => "key_required",
            Self::BudgetSpent => "budget_spent",
            Self::AllotmentShort => "allotment_short",
            Self::Starting(_) => "starting",
            Self::Stopping(_) => "stopping",
            Self::NoQuorum(_) => "no_quorum",
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::Paused { .. } => "upstreams_paused",
            Self::Shed { .. } => "shed",
            Self::Quarantined { .. } => "quarantined",
            Self::Failed(_) => "upstream_failed",
            Self::Rejected(_) => "upstream_rejected",
            Self::Deadline(_) => "deadline",
            Self::BillUnsafe => "bill_unsafe",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::CallRunning => "call_running",
        }
    }

    /// Returns the HTTP status, for a refusal before any part of an answer was sent.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownModel(_) | Self::UnknownService(_) | Self::UnknownPath => {
                StatusCode::NOT_FOUND
            }
            Self::BadMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Malformed(_) | Self::KeyRequired => StatusCode::BAD_REQUEST,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused | Self::Quarantined { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BudgetSpent | Self::AllotmentShort => StatusCode::TOO_MANY_REQUESTS,
            Self::Starting(_)
            | Self::Stopping(_)
            | Self::NoQuorum(_)
            | Self::NoUpstream
            | Self::Overloaded
            | Self::NoMemory
            | Self::Paused { .. }
            | Self::Shed { .. }
            | Self::BillUnsafe
            | Self::Failed(Execution::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed(_) | Self::Rejected(_) | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Deadline(_) => StatusCode::GATEWAY_TIMEOUT,
            Self::CallRunning => StatusCode::CONFLICT,
        }
    }

    /// Returns whether the refused request ran.
    pub fn execution(&self) -> Execution {
        match self {
            Self::Starting(execution)
            | Self::Stopping(execution)
            | Self::NoQuorum(execution)
            | Self::Failed(execution)
            | Self::Deadline(execution)
            | Self::Quarantined { execution, .. } => *execution,
            Self::BillUnsafe => Execution::Ran,
            Self::OutcomeUnknown | Self::CallRunning => Execution::Unknown,
            _ => Execution::NotRun,
        }
    }

    /// Returns the seconds after which a resend may be served, if it ever may.
    pub fn retry_after(&self) -> Option<u64> {
        match self {
            Self::BudgetSpent => Some(BUDGET_RETRY_SECONDS),
            Self::NoQuorum(_) | Self::NoUpstream => Some(LONG_RETRY_SECONDS),
            Self::Quarantined { retry_after, .. }
            | Self::Paused { retry_after }
            | Self::Shed { retry_after } => Some(*retry_after),
            Self::AllotmentShort
            | Self::Starting(_)
            | Self::Stopping(_)
            | Self::Overloaded
            | Self::NoMemory
            | Self::Failed(_)
            | Self::Deadline(_)
            | Self::BillUnsafe
            | Self::CallRunning => Some(SHORT_RETRY_SECONDS),
            _ => None,
        }
    }

    /// Returns the refusal as JSON.
    pub fn json(&self) -> Bytes {
        let error = ErrorBody {
            code: self.code(),
            message: self.to_string(),
            ran: self.execution(),
            retry_after: self.retry_after(),
        };
        // Serialising these plain fields can't fail; an empty body would still carry the status.
        serde_json::to_vec(&Envelope { error })
            .unwrap_or_default()
            .into()
    }

    /// Returns the refusal as an HTTP answer.
    pub fn response(&self) -> Response<ReplyBody> {
        let mut response = Response::new(ReplyBody::whole(self.json()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(seconds) = self.retry_after() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if matches!(self, Self::Stopping(_)) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// JSON form of a refusal.
#[derive(Serialize)]
struct Envelope {
    error: ErrorBody,
}

#[derive(Serialize)]
struct ErrorBody {
    code: &'static str,
    message: String,
    ran: Execution,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u64>,
}
