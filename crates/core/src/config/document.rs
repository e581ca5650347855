//! Tables of the configuration, as operators write them in TOML.
//!
//! Times are in milliseconds.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Budget;
use crate::id::Model;
use crate::id::Operator;
use crate::id::Service;
use crate::id::Workspace;
use crate::unit::Millis;
use crate::unit::Revision;
use crate::unit::Tokens;

/// An accepted configuration and its revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Revision; zero before the first accepted configuration.
    pub revision: Revision,
    /// The configuration.
    pub document: Arc<Document>,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Workspaces that may call.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<WorkspaceSpec>,
    /// Prepaid token budgets that workspaces are billed to.
    #[serde(rename = "budget")]
    pub budgets: Vec<BudgetSpec>,
    /// Models that chat requests may name.
    #[serde(rename = "model")]
    pub models: Vec<ModelSpec>,
    /// Plain services, called below `/services/`.
    #[serde(rename = "service")]
    pub services: Vec<ServiceSpec>,
}

/// A customer with its bearer keys, budget and permissions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: Workspace,
    /// Budget that its chat requests are billed to.
    pub budget: Budget,
    /// SHA-256 of each bearer key, in lower-case hexadecimal digits.
    pub keys: Vec<Arc<str>>,
    /// Models that it may use; empty for all.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services that it may call; empty for all.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Weight in the sharing of upstreams under load, relative to the other workspaces.
    #[serde(default = "default_share")]
    pub share: u32,
}

/// A prepaid token budget.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSpec {
    /// Name of the budget.
    pub name: Budget,
    /// First deposit; can't be edited once accepted. Later deposits are top-ups.
    pub prepaid: Tokens,
}

/// A model that chat requests may name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name of the model in requests.
    pub name: Model,
    /// Most tokens generated for a request: the default, and the upper bound on a request's own
    /// limit.
    #[serde(default = "default_limit")]
    pub limit: Tokens,
    /// Precedence under load; higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Longest wait for the first token.
    #[serde(default = "default_first")]
    pub first: Millis,
    /// Longest wait between tokens.
    #[serde(default = "default_between")]
    pub between: Millis,
    /// Longest time for the whole answer.
    #[serde(default = "default_whole")]
    pub whole: Millis,
}

/// A plain service: one without a model, called below `/services/`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service: the first segment of the path below `/services/`.
    pub name: Service,
    /// Paths whose calls may be retried; calls of all others run at most once. `GET` may always be
    /// retried.
    #[serde(default)]
    pub idempotent: Vec<Arc<str>>,
    /// Whether a call that may not be retried is refused if it has no idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Precedence under load; higher goes first.
    #[serde(default = "default_service_priority")]
    pub priority: u8,
    /// Longest time for the whole answer.
    #[serde(default = "default_service_whole")]
    pub whole: Millis,
}

/// Entry in the history of accepted configurations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Unix time at which it was accepted.
    pub at: Millis,
    /// Operator who published it.
    pub operator: Operator,
}

const DEFAULT_LIMIT: Tokens = Tokens(1_024);
const DEFAULT_FIRST: Millis = Millis(10_000);
const DEFAULT_BETWEEN: Millis = Millis(5_000);
const DEFAULT_WHOLE: Millis = Millis(120_000);
const DEFAULT_SERVICE_WHOLE: Millis = Millis(10_000);
const DEFAULT_SERVICE_PRIORITY: u8 = 10;

fn default_share() -> u32 {
    1
}

fn default_limit() -> Tokens {
    DEFAULT_LIMIT
}

fn default_first() -> Millis {
    DEFAULT_FIRST
}

fn default_between() -> Millis {
    DEFAULT_BETWEEN
}

fn default_whole() -> Millis {
    DEFAULT_WHOLE
}

fn default_service_whole() -> Millis {
    DEFAULT_SERVICE_WHOLE
}

fn default_service_priority() -> u8 {
    DEFAULT_SERVICE_PRIORITY
}
