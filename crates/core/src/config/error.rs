//! Validation errors of a complete configuration. Errors in reading a file are reported by the
//! reader of the files.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Reason for which a configuration is refused.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum ConfigError {
    /// Two tables of one kind have the same name.
    #[error("{kind} {name} is declared twice")]
    Twice {
        /// Kind of both tables.
        kind: Kind,
        /// Name of both tables.
        name: std::sync::Arc<str>,
    },
    /// A table refers to another that is not declared.
    #[error("{kind} {name} names {target_kind} {target}, which is not declared")]
    Dangling {
        /// Kind of the referring table.
        kind: Kind,
        /// Name of the referring table.
        name: std::sync::Arc<str>,
        /// Kind of the missing table.
        target_kind: Kind,
        /// Name of the missing table.
        target: std::sync::Arc<str>,
    },
    /// Two workspaces have a bearer key in common, or one lists a key twice.
    #[error("workspaces {first} and {second} share a key")]
    SharedKey {
        /// The earlier workspace.
        first: std::sync::Arc<str>,
        /// The later workspace.
        second: std::sync::Arc<str>,
    },
    /// A value is out of its range.
    #[error("{kind} {name}: {field} has to be {expected}")]
    Range {
        /// Kind of the table.
        kind: Kind,
        /// Name of the table.
        name: std::sync::Arc<str>,
        /// Name of the field.
        field: std::sync::Arc<str>,
        /// Description of the accepted values.
        expected: std::sync::Arc<str>,
    },
    /// The first deposit of an accepted budget was edited. Later deposits are top-ups.
    #[error("budget {0}: prepaid can't be edited once accepted; add tokens with `budget top-up`")]
    PrepaidEdited(crate::id::Budget),
    /// A budget that still holds tokens or bills was removed.
    #[error("budget {0} can't be removed")]
    BudgetRemoved(crate::id::Budget),
}

/// Kind of a configuration table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Kind {
    /// [`WorkspaceSpec`](crate::config::WorkspaceSpec).
    Workspace,
    /// [`BudgetSpec`](crate::config::BudgetSpec).
    Budget,
    /// [`ModelSpec`](crate::config::ModelSpec).
    Model,
    /// [`ServiceSpec`](crate::config::ServiceSpec).
    Service,
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Workspace => "workspace",
            Self::Budget => "budget",
            Self::Model => "model",
            Self::Service => "service",
        })
    }
}
