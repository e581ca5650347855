//! Checks of a whole configuration.

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

/// Most tables of one kind; budgets may be as many as [`MAX_BUDGETS`].
const MAX_TABLES: usize = 10_000;

/// Most budgets.
const MAX_BUDGETS: usize = 1_000_000;

/// Most bearer keys of a workspace.
const MAX_KEYS: usize = 64;

/// Most paths that a service names.
const MAX_PATHS: usize = 256;

/// Longest name.
const MAX_NAME_BYTES: usize = 64;

/// Longest wait that may be set.
const MAX_WAIT_MILLIS: Millis = Millis(24 * 60 * 60 * 1_000);

/// Highest token limit and first deposit.
const MAX_TOKENS: u64 = 1 << 53;

/// Highest share of a workspace.
const MAX_SHARE: u32 = 1_000_000;

/// Length of a SHA-256 in hexadecimal digits.
const KEY_DIGITS: usize = 64;

impl Document {
    /// Checks the configuration as a whole: names, references, ranges, keys.
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
            let is_fit = budget.prepaid.0 <= MAX_TOKENS;
            let name = budget.name.as_str();
            ensure(is_fit, Kind::Budget, name, "prepaid", "at most 2^53")?;
        }
        self.models.iter().try_for_each(check_model)?;
        self.services.iter().try_for_each(check_service)?;
        self.check_keys()
    }

    fn check_names(&self) -> Result<(), ConfigError> {
        let workspaces = self.workspaces.iter().map(|spec| spec.name.as_str());
        check_kind(Kind::Workspace, workspaces, MAX_TABLES)?;
        let budgets = self.budgets.iter().map(|spec| spec.name.as_str());
        check_kind(Kind::Budget, budgets, MAX_BUDGETS)?;
        let models = self.models.iter().map(|spec| spec.name.as_str());
        check_kind(Kind::Model, models, MAX_TABLES)?;
        let services = self.services.iter().map(|spec| spec.name.as_str());
        check_kind(Kind::Service, services, MAX_TABLES)
    }

    fn check_workspace(&self, spec: &WorkspaceSpec) -> Result<(), ConfigError> {
        let name = spec.name.as_str();
        let has_budget = self.budgets.iter().any(|budget| budget.name == spec.budget);
        refer(has_budget, name, Kind::Budget, spec.budget.as_str())?;
        for model in &spec.models {
            let is_known = self.models.iter().any(|known| known.name == *model);
            refer(is_known, name, Kind::Model, model.as_str())?;
        }
        for service in &spec.services {
            let is_known = self.services.iter().any(|known| known.name == *service);
            refer(is_known, name, Kind::Service, service.as_str())?;
        }
        let has_share = (1..=MAX_SHARE).contains(&spec.share);
        ensure(has_share, Kind::Workspace, name, "share", "1 to 1000000")?;
        let has_keys = (1..=MAX_KEYS).contains(&spec.keys.len());
        ensure(has_keys, Kind::Workspace, name, "keys", "1 to 64 keys")?;
        let are_hashes = spec.keys.iter().all(is_hash);
        let expected = "SHA-256 in 64 lower-case hexadecimal digits";
        ensure(are_hashes, Kind::Workspace, name, "keys", expected)
    }

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

fn check_kind<'a>(
    kind: Kind,
    names: impl Iterator<Item = &'a str>,
    most: usize,
) -> Result<(), ConfigError> {
    let mut seen: Set<&str> = Set::default();
    for name in names {
        let expected = "1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-', the first a letter or digit";
        ensure(is_name(name), kind, name, "name", expected)?;
        if !seen.insert(name) {
            return Err(ConfigError::Twice {
                kind,
                name: name.into(),
            });
        }
        ensure(seen.len() <= most, kind, name, "count", "lower")?;
    }
    Ok(())
}

fn check_model(spec: &ModelSpec) -> Result<(), ConfigError> {
    let name = spec.name.as_str();
    let has_limit = (1..=MAX_TOKENS).contains(&spec.limit.0);
    ensure(has_limit, Kind::Model, name, "limit", "1 to 2^53")?;
    check_wait(spec.first, Kind::Model, name, "first")?;
    check_wait(spec.between, Kind::Model, name, "between")?;
    check_wait(spec.whole, Kind::Model, name, "whole")
}

fn check_service(spec: &ServiceSpec) -> Result<(), ConfigError> {
    let name = spec.name.as_str();
    check_wait(spec.whole, Kind::Service, name, "whole")?;
    let is_few = spec.idempotent.len() <= MAX_PATHS;
    ensure(is_few, Kind::Service, name, "idempotent", "at most 256")?;
    let are_paths = spec.idempotent.iter().all(|path| path.starts_with('/'));
    let expected = "paths that start with /";
    ensure(are_paths, Kind::Service, name, "idempotent", expected)
}

fn check_wait(wait: Millis, kind: Kind, name: &str, field: &str) -> Result<(), ConfigError> {
    let is_fit = (1..=MAX_WAIT_MILLIS.0).contains(&wait.0);
    ensure(is_fit, kind, name, field, "1 to 86400000 milliseconds")
}

fn ensure(
    holds: bool,
    kind: Kind,
    name: &str,
    field: &str,
    expected: &str,
) -> Result<(), ConfigError> {
    if holds {
        return Ok(());
    }
    Err(ConfigError::Range {
        kind,
        name: name.into(),
        field: field.into(),
        expected: expected.into(),
    })
}

fn refer(is_known: bool, name: &str, target_kind: Kind, target: &str) -> Result<(), ConfigError> {
    if is_known {
        return Ok(());
    }
    Err(ConfigError::Dangling {
        kind: Kind::Workspace,
        name: name.into(),
        target_kind,
        target: target.into(),
    })
}

fn is_name(name: &str) -> bool {
    let is_fit = (1..=MAX_NAME_BYTES).contains(&name.len());
    let starts = name.starts_with(|first: char| first.is_ascii_alphanumeric());
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    is_fit && starts && name.chars().all(is_plain)
}

fn is_hash(key: &Arc<str>) -> bool {
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    key.len() == KEY_DIGITS && key.bytes().all(is_digit)
}
