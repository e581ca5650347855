//! Validation of a complete configuration.

use std::sync::Arc;

use crate::config::ConfigError;
use crate::config::Document;
use crate::config::Kind;
use crate::config::ModelSpec;
use crate::config::ServiceSpec;
use crate::config::WorkspaceSpec;
use crate::map::Map;
use crate::map::Set;
use crate::unit::Millis;

/// Most workspaces, models or services; budgets have their own limit, [`MAX_BUDGETS`].
const MAX_TABLES: usize = 10_000;

/// Most budgets in a configuration.
const MAX_BUDGETS: usize = 1_000_000;

/// Most bearer keys of a workspace.
const MAX_WORKSPACE_KEYS: usize = 64;

/// Most idempotent paths of a service.
const MAX_IDEMPOTENT_PATHS: usize = 256;

/// Longest name of a table.
const MAX_NAME_BYTES: usize = 64;

/// Longest timeout that may be set: a day.
const MAX_TIMEOUT: Millis = Millis(24 * 60 * 60 * 1_000);

/// Highest token limit and first deposit.
const MAX_TOKENS: u64 = 1 << 53;

/// Highest sharing weight of a workspace.
const MAX_SHARE: u32 = 1_000_000;

/// Hexadecimal digits of a SHA-256.
const KEY_HASH_DIGITS: usize = 64;

impl Document {
    /// Checks names, references between tables, ranges of values, and keys.
    ///
    /// # Errors
    ///
    /// The first [`ConfigError`] found, in the order of the tables.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.check_names()?;
        for workspace in &self.workspaces {
            self.check_workspace(workspace)?;
        }
        for budget in &self.budgets {
            let is_valid = budget.prepaid.0 <= MAX_TOKENS;
            let name = budget.name.as_str();
            ensure_valid(is_valid, Kind::Budget, name, "prepaid", "at most 2^53")?;
        }
        self.models.iter().try_for_each(check_model)?;
        self.services.iter().try_for_each(check_service)?;
        self.check_keys()
    }

    fn check_names(&self) -> Result<(), ConfigError> {
        let workspaces = self.workspaces.iter().map(|spec| spec.name.as_str());
        check_names_of(Kind::Workspace, workspaces, MAX_TABLES)?;
        let budgets = self.budgets.iter().map(|spec| spec.name.as_str());
        check_names_of(Kind::Budget, budgets, MAX_BUDGETS)?;
        let models = self.models.iter().map(|spec| spec.name.as_str());
        check_names_of(Kind::Model, models, MAX_TABLES)?;
        let services = self.services.iter().map(|spec| spec.name.as_str());
        check_names_of(Kind::Service, services, MAX_TABLES)
    }

    fn check_workspace(&self, spec: &WorkspaceSpec) -> Result<(), ConfigError> {
        let name = spec.name.as_str();
        let has_budget = self.budgets.iter().any(|budget| budget.name == spec.budget);
        ensure_declared(has_budget, name, Kind::Budget, spec.budget.as_str())?;
        for model in &spec.models {
            let is_declared = self.models.iter().any(|known| known.name == *model);
            ensure_declared(is_declared, name, Kind::Model, model.as_str())?;
        }
        for service in &spec.services {
            let is_declared = self.services.iter().any(|known| known.name == *service);
            ensure_declared(is_declared, name, Kind::Service, service.as_str())?;
        }
        let is_valid_share = (1..=MAX_SHARE).contains(&spec.share);
        ensure_valid(
            is_valid_share,
            Kind::Workspace,
            name,
            "share",
            "1 to 1000000",
        )?;
        let is_valid_count = (1..=MAX_WORKSPACE_KEYS).contains(&spec.keys.len());
        ensure_valid(
            is_valid_count,
            Kind::Workspace,
            name,
            "keys",
            "1 to 64 keys",
        )?;
        let are_hashes = spec.keys.iter().all(is_hash);
        let expected = "SHA-256 in 64 lower-case hexadecimal digits";
        ensure_valid(are_hashes, Kind::Workspace, name, "keys", expected)
    }

    /// Checks that no key occurs twice.
    fn check_keys(&self) -> Result<(), ConfigError> {
        let mut owners: Map<&str, &str> = Map::default();
        for spec in &self.workspaces {
            for key in &spec.keys {
                let Some(first) = owners.insert(key, spec.name.as_str()) else {
                    continue;
                };
                return Err(ConfigError::SharedKey {
                    first: first.into(),
                    second: spec.name.as_str().into(),
                });
            }
        }
        Ok(())
    }
}

/// Checks the names of the tables of one kind, and that there are at most `limit` of them.
fn check_names_of<'a>(
    kind: Kind,
    names: impl Iterator<Item = &'a str>,
    limit: usize,
) -> Result<(), ConfigError> {
    let mut seen: Set<&str> = Set::default();
    for name in names {
        let expected = "1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-', the first a letter or digit";
        ensure_valid(is_valid_name(name), kind, name, "name", expected)?;
        if !seen.insert(name) {
            return Err(ConfigError::Twice {
                kind,
                name: name.into(),
            });
        }
        ensure_valid(seen.len() <= limit, kind, name, "count", "lower")?;
    }
    Ok(())
}

fn check_model(spec: &ModelSpec) -> Result<(), ConfigError> {
    let name = spec.name.as_str();
    let is_valid_limit = (1..=MAX_TOKENS).contains(&spec.limit.0);
    ensure_valid(is_valid_limit, Kind::Model, name, "limit", "1 to 2^53")?;
    check_timeout(spec.first, Kind::Model, name, "first")?;
    check_timeout(spec.between, Kind::Model, name, "between")?;
    check_timeout(spec.whole, Kind::Model, name, "whole")
}

fn check_service(spec: &ServiceSpec) -> Result<(), ConfigError> {
    let name = spec.name.as_str();
    check_timeout(spec.whole, Kind::Service, name, "whole")?;
    let is_valid_count = spec.idempotent.len() <= MAX_IDEMPOTENT_PATHS;
    ensure_valid(
        is_valid_count,
        Kind::Service,
        name,
        "idempotent",
        "at most 256",
    )?;
    let are_paths = spec.idempotent.iter().all(|path| path.starts_with('/'));
    let expected = "paths that start with /";
    ensure_valid(are_paths, Kind::Service, name, "idempotent", expected)
}

fn check_timeout(timeout: Millis, kind: Kind, name: &str, field: &str) -> Result<(), ConfigError> {
    let is_valid = (1..=MAX_TIMEOUT.0).contains(&timeout.0);
    ensure_valid(is_valid, kind, name, field, "1 to 86400000 milliseconds")
}

/// Returns [`ConfigError::Range`] unless a field's value is valid.
fn ensure_valid(
    is_valid: bool,
    kind: Kind,
    name: &str,
    field: &str,
    expected: &str,
) -> Result<(), ConfigError> {
    if is_valid {
        return Ok(());
    }
    Err(ConfigError::Range {
        kind,
        name: name.into(),
        field: field.into(),
        expected: expected.into(),
    })
}

/// Returns [`ConfigError::Dangling`] unless the table that a workspace refers to is declared.
fn ensure_declared(
    is_declared: bool,
    name: &str,
    target_kind: Kind,
    target: &str,
) -> Result<(), ConfigError> {
    if is_declared {
        return Ok(());
    }
    Err(ConfigError::Dangling {
        kind: Kind::Workspace,
        name: name.into(),
        target_kind,
        target: target.into(),
    })
}

/// Returns whether a name has 1 to 64 permitted characters and starts with a letter or digit.
fn is_valid_name(name: &str) -> bool {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    let has_valid_start = name.starts_with(|first: char| first.is_ascii_alphanumeric());
    let is_permitted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    has_valid_length && has_valid_start && name.chars().all(is_permitted)
}

/// Returns whether a key has the form of a SHA-256 in lower-case hexadecimal digits.
fn is_hash(key: &Arc<str>) -> bool {
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    key.len() == KEY_HASH_DIGITS && key.bytes().all(is_digit)
}
