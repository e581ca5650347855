//! Tables of the configuration.

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

/// A configuration with the revision it was accepted as.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Its number.
    pub revision: Revision,
    /// The configuration.
    pub document: Arc<Document>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Workspaces.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<WorkspaceSpec>,
    /// Prepaid budgets.
    #[serde(rename = "budget")]
    pub budgets: Vec<BudgetSpec>,
    /// Models.
    #[serde(rename = "model")]
    pub models: Vec<ModelSpec>,
    /// Plain services.
    #[serde(rename = "service")]
    pub services: Vec<ServiceSpec>,
}

/// A customer of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Its name.
    pub name: Workspace,
    /// The budget its chats are billed to.
    pub budget: Budget,
    /// SHA-256 of each bearer key, in lower-case hexadecimal.
    pub keys: Vec<Arc<str>>,
    /// Models it may use; empty for all.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services it may call; empty for all.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Share of the upstreams under load, relative to the other workspaces.
    #[serde(default = "one")]
    pub share: u32,
}

/// A prepaid token budget.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSpec {
    /// Its name.
    pub name: Budget,
    /// First deposit, in tokens; later ones are top-ups.
    pub prepaid: Tokens,
}

/// A model that callers ask for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Its name.
    pub name: Model,
    /// Most tokens generated for a request that names no limit, and the cap on the limit it names.
    #[serde(default = "limit")]
    pub limit: Tokens,
    /// Precedence under load; higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Longest wait for the first token, in milliseconds.
    #[serde(default = "first")]
    pub first: Millis,
    /// Longest wait between tokens, in milliseconds.
    #[serde(default = "between")]
    pub between: Millis,
    /// Longest time for a whole answer, in milliseconds.
    #[serde(default = "whole")]
    pub whole: Millis,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name: the first part of the path below `/services/`.
    pub name: Service,
    /// Paths that may be repeated; all others run at most once. `GET` may always be repeated.
    #[serde(default)]
    pub idempotent: Vec<Arc<str>>,
    /// Whether a call that may not be repeated is refused without an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Precedence under load; higher goes first.
    #[serde(default = "high")]
    pub priority: u8,
    /// Longest time for a whole answer, in milliseconds.
    #[serde(default = "call")]
    pub whole: Millis,
}

/// One accepted configuration as the history lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Past {
    /// Its number.
    pub revision: Revision,
    /// Unix time at which it was accepted.
    pub at: Millis,
    /// Who published it.
    pub operator: Operator,
}

const DEFAULT_LIMIT: Tokens = Tokens(1_024);
const DEFAULT_FIRST: Millis = Millis(10_000);
const DEFAULT_BETWEEN: Millis = Millis(5_000);
const DEFAULT_WHOLE: Millis = Millis(120_000);
const DEFAULT_CALL: Millis = Millis(10_000);
const DEFAULT_PRIORITY: u8 = 10;

fn one() -> u32 {
    1
}

fn limit() -> Tokens {
    DEFAULT_LIMIT
}

fn first() -> Millis {
    DEFAULT_FIRST
}

fn between() -> Millis {
    DEFAULT_BETWEEN
}

fn whole() -> Millis {
    DEFAULT_WHOLE
}

fn call() -> Millis {
    DEFAULT_CALL
}

fn high() -> u8 {
    DEFAULT_PRIORITY
}
