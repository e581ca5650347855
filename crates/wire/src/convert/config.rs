//! Conversions of configurations and of their errors.

use std::sync::Arc;

use chestnutnotch_core::config;
use chestnutnotch_core::config::ConfigError;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;

use super::convert;
use super::narrow;
use super::required;
use super::to_strings;
use super::try_convert;
use crate::WireError;
use crate::proto;
use crate::proto::config_error;

impl From<config::Accepted> for proto::Accepted {
    fn from(from: config::Accepted) -> Self {
        Self {
            revision: from.revision.0,
            document: Some((*from.document).clone().into()),
        }
    }
}

impl TryFrom<proto::Accepted> for config::Accepted {
    type Error = WireError;

    fn try_from(from: proto::Accepted) -> Result<Self, WireError> {
        Ok(Self {
            revision: Revision(from.revision),
            document: Arc::new(required(from.document, "Accepted", "document")?),
        })
    }
}

impl From<config::Document> for proto::Document {
    fn from(from: config::Document) -> Self {
        Self {
            workspaces: convert(from.workspaces),
            budgets: convert(from.budgets),
            models: convert(from.models),
            services: convert(from.services),
        }
    }
}

impl TryFrom<proto::Document> for config::Document {
    type Error = WireError;

    fn try_from(from: proto::Document) -> Result<Self, WireError> {
        Ok(Self {
            workspaces: try_convert(from.workspaces)?,
            budgets: try_convert(from.budgets)?,
            models: try_convert(from.models)?,
            services: try_convert(from.services)?,
        })
    }
}

impl From<config::WorkspaceSpec> for proto::WorkspaceSpec {
    fn from(from: config::WorkspaceSpec) -> Self {
        Self {
            name: from.name.to_string(),
            budget: from.budget.to_string(),
            keys: to_strings(from.keys),
            models: to_strings(from.models),
            services: to_strings(from.services),
            share: from.share,
        }
    }
}

impl TryFrom<proto::WorkspaceSpec> for config::WorkspaceSpec {
    type Error = WireError;

    fn try_from(from: proto::WorkspaceSpec) -> Result<Self, WireError> {
        Ok(Self {
            name: from.name.into(),
            budget: from.budget.into(),
            keys: convert(from.keys),
            models: convert(from.models),
            services: convert(from.services),
            share: from.share,
        })
    }
}

impl From<config::BudgetSpec> for proto::BudgetSpec {
    fn from(from: config::BudgetSpec) -> Self {
        Self {
            name: from.name.to_string(),
            prepaid: from.prepaid.0,
        }
    }
}

impl TryFrom<proto::BudgetSpec> for config::BudgetSpec {
    type Error = WireError;

    fn try_from(from: proto::BudgetSpec) -> Result<Self, WireError> {
        Ok(Self {
            name: from.name.into(),
            prepaid: Tokens(from.prepaid),
        })
    }
}

impl From<config::ModelSpec> for proto::ModelSpec {
    fn from(from: config::ModelSpec) -> Self {
        Self {
            name: from.name.to_string(),
            limit: from.limit.0,
            priority: from.priority.into(),
            first: from.first.0,
            between: from.between.0,
            whole: from.whole.0,
        }
    }
}

impl TryFrom<proto::ModelSpec> for config::ModelSpec {
    type Error = WireError;

    fn try_from(from: proto::ModelSpec) -> Result<Self, WireError> {
        Ok(Self {
            name: from.name.into(),
            limit: Tokens(from.limit),
            priority: narrow(from.priority, "ModelSpec", "priority")?,
            first: Millis(from.first),
            between: Millis(from.between),
            whole: Millis(from.whole),
        })
    }
}

impl From<config::ServiceSpec> for proto::ServiceSpec {
    fn from(from: config::ServiceSpec) -> Self {
        Self {
            name: from.name.to_string(),
            idempotent: to_strings(from.idempotent),
            keyed: from.keyed,
            priority: from.priority.into(),
            whole: from.whole.0,
        }
    }
}

impl TryFrom<proto::ServiceSpec> for config::ServiceSpec {
    type Error = WireError;

    fn try_from(from: proto::ServiceSpec) -> Result<Self, WireError> {
        Ok(Self {
            name: from.name.into(),
            idempotent: convert(from.idempotent),
            keyed: from.keyed,
            priority: narrow(from.priority, "ServiceSpec", "priority")?,
            whole: Millis(from.whole),
        })
    }
}

impl From<config::Kind> for proto::Kind {
    fn from(from: config::Kind) -> Self {
        match from {
            config::Kind::Workspace => Self::Workspace,
            config::Kind::Budget => Self::Budget,
            config::Kind::Model => Self::Model,
            config::Kind::Service => Self::Service,
        }
    }
}

/// Converts the kind of a configuration entry.
fn entry_kind(from: i32, message: &'static str) -> Result<config::Kind, WireError> {
    match proto::Kind::try_from(from) {
        Ok(proto::Kind::Workspace) => Ok(config::Kind::Workspace),
        Ok(proto::Kind::Budget) => Ok(config::Kind::Budget),
        Ok(proto::Kind::Model) => Ok(config::Kind::Model),
        Ok(proto::Kind::Service) => Ok(config::Kind::Service),
        Ok(proto::Kind::Unspecified) | Err(_) => Err(WireError::Invalid {
            message,
            field: "kind",
        }),
    }
}

impl From<ConfigError> for proto::ConfigError {
    fn from(from: ConfigError) -> Self {
        let kind = match from {
            ConfigError::Twice { kind, name } => config_error::Kind::Twice(proto::Twice {
                kind: proto::Kind::from(kind).into(),
                name: name.to_string(),
            }),
            ConfigError::Dangling {
                kind,
                name,
                target_kind,
                target,
            } => config_error::Kind::Dangling(proto::Dangling {
                kind: proto::Kind::from(kind).into(),
                name: name.to_string(),
                target_kind: proto::Kind::from(target_kind).into(),
                target: target.to_string(),
            }),
            ConfigError::SharedKey { first, second } => {
                config_error::Kind::SharedKey(proto::SharedKey {
                    first: first.to_string(),
                    second: second.to_string(),
                })
            }
            ConfigError::Range {
                kind,
                name,
                field,
                expected,
            } => config_error::Kind::Range(proto::OutOfRange {
                kind: proto::Kind::from(kind).into(),
                name: name.to_string(),
                field: field.to_string(),
                expected: expected.to_string(),
            }),
            ConfigError::PrepaidEdited(budget) => {
                config_error::Kind::PrepaidEdited(budget.to_string())
            }
            ConfigError::BudgetRemoved(budget) => {
                config_error::Kind::BudgetRemoved(budget.to_string())
            }
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<proto::ConfigError> for ConfigError {
    type Error = WireError;

    fn try_from(from: proto::ConfigError) -> Result<Self, WireError> {
        let from = from.kind.ok_or(WireError::Missing {
            message: "ConfigError",
            field: "kind",
        })?;
        Ok(match from {
            config_error::Kind::Twice(from) => Self::Twice {
                kind: entry_kind(from.kind, "Twice")?,
                name: from.name.into(),
            },
            config_error::Kind::Dangling(from) => Self::Dangling {
                kind: entry_kind(from.kind, "Dangling")?,
                name: from.name.into(),
                target_kind: entry_kind(from.target_kind, "Dangling")?,
                target: from.target.into(),
            },
            config_error::Kind::SharedKey(from) => Self::SharedKey {
                first: from.first.into(),
                second: from.second.into(),
            },
            config_error::Kind::Range(from) => Self::Range {
                kind: entry_kind(from.kind, "OutOfRange")?,
                name: from.name.into(),
                field: from.field.into(),
                expected: from.expected.into(),
            },
            config_error::Kind::PrepaidEdited(budget) => Self::PrepaidEdited(budget.into()),
            config_error::Kind::BudgetRemoved(budget) => Self::BudgetRemoved(budget.into()),
        })
    }
}
