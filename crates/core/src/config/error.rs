//! Errors of a configuration as a whole; errors of one file are the reader's.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Why a configuration is refused.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum ConfigError {
    /// Two tables of one kind share a name.
    #[error("{kind} {name} is declared twice")]
    Twice {
        /// Kind of table.
        kind: Kind,
        /// The shared name.
        name: std::sync::Arc<str>,
    },
    /// A table names another that is not declared.
    #[error("{kind} {name} names {target_kind} {target}, which is not declared")]
    Dangling {
        /// Kind of the naming table.
        kind: Kind,
        /// Its name.
        name: std::sync::Arc<str>,
        /// Kind of the missing table.
        target_kind: Kind,
        /// The missing name.
        target: std::sync::Arc<str>,
    },
    /// Two workspaces share a key.
    #[error("workspaces {first} and {second} share a key")]
    SharedKey {
        /// One workspace.
        first: std::sync::Arc<str>,
        /// The other.
        second: std::sync::Arc<str>,
    },
    /// A value is out of its range.
    #[error("{kind} {name}: {field} has to be {expected}")]
    Range {
        /// Kind of table.
        kind: Kind,
        /// Its name.
        name: std::sync::Arc<str>,
        /// The field.
        field: std::sync::Arc<str>,
        /// What would be right.
        expected: std::sync::Arc<str>,
    },
    /// A budget's first deposit was edited; deposits are added by top-ups.
    #[error("budget {0}: prepaid can't be edited once accepted; add tokens with `budget top-up`")]
    PrepaidEdited(crate::id::Budget),
    /// A budget was removed that still holds money or bills.
    #[error("budget {0} can't be removed")]
    BudgetRemoved(crate::id::Budget),
}

/// Kind of a table in the configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Kind {
    /// A workspace.
    Workspace,
    /// A budget.
    Budget,
    /// A model.
    Model,
    /// A plain service.
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
