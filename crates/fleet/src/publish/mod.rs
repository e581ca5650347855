//! Collects the short TOML files beside the services' code into one configuration.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use chestnutnotch_core::config::BudgetSpec;
use chestnutnotch_core::config::ConfigError;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::config::Kind;
use chestnutnotch_core::config::ModelSpec;
use chestnutnotch_core::config::ServiceSpec;
use chestnutnotch_core::config::WorkspaceSpec;
use chestnutnotch_core::map::Map;
use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

use crate::file;
use crate::file::FileError;
use crate::file::Place;

/// Most files that are collected.
const MAX_FILES: usize = 10_000;

/// Deepest folder that is searched, counted from the one given.
const MAX_DEPTH: usize = 16;

/// Why the files make no configuration.
#[derive(Debug, Error)]
pub enum PublishError {
    /// One file is wrong.
    #[error(transparent)]
    File(#[from] FileError),
    /// Two tables of one kind share a name.
    #[error("{place}: {kind} {name} is declared already at {first}")]
    Duplicate {
        /// The second table.
        place: Place,
        /// Kind of table.
        kind: Kind,
        /// The shared name.
        name: Arc<str>,
        /// The first table.
        first: Place,
    },
    /// The configuration as a whole is wrong.
    #[error("{}{source}", at(.place))]
    Inconsistent {
        /// The table at fault, where there is one.
        place: Option<Place>,
        /// What is wrong.
        source: ConfigError,
    },
    /// There is no file to collect.
    #[error("{}: expected at least one .toml file", .0.display())]
    Empty(PathBuf),
    /// There are too many files.
    #[error("{}: more than {MAX_FILES} .toml files", .0.display())]
    TooManyFiles(PathBuf),
    /// The folders are nested too deeply.
    #[error("{}: folders nested deeper than {MAX_DEPTH}", .0.display())]
    TooDeep(PathBuf),
}

/// A configuration with the places that its tables came from.
#[derive(Debug, Default)]
pub struct Collected {
    /// The configuration.
    pub document: Document,
    /// The files.
    pub files: Vec<Arc<Path>>,
    places: Map<(Kind, Arc<str>), Place>,
}

/// Tables of one file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Tables {
    #[serde(default)]
    workspace: Vec<Spanned<WorkspaceSpec>>,
    #[serde(default)]
    budget: Vec<Spanned<BudgetSpec>>,
    #[serde(default)]
    model: Vec<Spanned<ModelSpec>>,
    #[serde(default)]
    service: Vec<Spanned<ServiceSpec>>,
}

/// Collects all `.toml` files below a folder, in the order of their names, and checks the whole.
///
/// # Errors
///
/// See [`PublishError`].
pub fn collect(folder: &Path) -> Result<Collected, PublishError> {
    let mut files = Vec::new();
    search(folder, 0, &mut files)?;
    if files.is_empty() {
        return Err(PublishError::Empty(folder.to_owned()));
    }
    files.sort();
    let mut collected = Collected::default();
    for path in files {
        let text = file::read_text(&path)?;
        collected.add(&path.into(), &text)?;
    }
    collected.check()?;
    Ok(collected)
}

impl Collected {
    /// Adds the tables of one file.
    ///
    /// # Errors
    ///
    /// See [`PublishError`].
    pub fn add(&mut self, file: &Arc<Path>, text: &str) -> Result<(), PublishError> {
        let tables: Tables = file::parse(file, text)?;
        let at = |span| file::place(file, text, span);
        for table in tables.workspace {
            let place = at(table.span());
            let table = table.into_inner();
            self.record_place(Kind::Workspace, table.name.as_str(), place)?;
            self.document.workspaces.push(table);
        }
        for table in tables.budget {
            let place = at(table.span());
            let table = table.into_inner();
            self.record_place(Kind::Budget, table.name.as_str(), place)?;
            self.document.budgets.push(table);
        }
        for table in tables.model {
            let place = at(table.span());
            let table = table.into_inner();
            self.record_place(Kind::Model, table.name.as_str(), place)?;
            self.document.models.push(table);
        }
        for table in tables.service {
            let place = at(table.span());
            let table = table.into_inner();
            self.record_place(Kind::Service, table.name.as_str(), place)?;
            self.document.services.push(table);
        }
        self.files.push(file.clone());
        Ok(())
    }

    /// Checks the configuration as a whole.
    ///
    /// # Errors
    ///
    /// [`PublishError::Inconsistent`].
    pub fn check(&self) -> Result<(), PublishError> {
        self.document
            .check()
            .map_err(|source| PublishError::Inconsistent {
                place: self.place(&source),
                source,
            })
    }

    /// Place of the table that an error speaks of.
    pub fn place(&self, error: &ConfigError) -> Option<Place> {
        let (kind, name) = match error {
            ConfigError::Twice { kind, name }
            | ConfigError::Dangling { kind, name, .. }
            | ConfigError::Range { kind, name, .. } => (*kind, name.clone()),
            ConfigError::SharedKey { second, .. } => (Kind::Workspace, second.clone()),
            ConfigError::PrepaidEdited(budget) | ConfigError::BudgetRemoved(budget) => {
                (Kind::Budget, budget.as_str().into())
            }
        };
        self.places.get(&(kind, name)).cloned()
    }

    fn record_place(&mut self, kind: Kind, name: &str, place: Place) -> Result<(), PublishError> {
        let name: Arc<str> = name.into();
        let known = self.places.get(&(kind, name.clone()));
        if let Some(first) = known.cloned() {
            return Err(PublishError::Duplicate {
                place,
                kind,
                name,
                first,
            });
        }
        self.places.insert((kind, name), place);
        Ok(())
    }
}

fn search(folder: &Path, depth: usize, files: &mut Vec<PathBuf>) -> Result<(), PublishError> {
    if depth > MAX_DEPTH {
        return Err(PublishError::TooDeep(folder.to_owned()));
    }
    let failed = |source| FileError::Read {
        file: folder.to_owned(),
        source,
    };
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        let entry = entry.map_err(failed)?;
        let kind = entry.file_type().map_err(failed)?;
        let path = entry.path();
        if kind.is_dir() {
            search(&path, depth + 1, files)?;
        } else if path.extension().is_some_and(|end| end == "toml") {
            files.push(path);
        }
        if files.len() > MAX_FILES {
            return Err(PublishError::TooManyFiles(folder.to_owned()));
        }
    }
    Ok(())
}

fn at(place: &Option<Place>) -> String {
    place
        .as_ref()
        .map_or_else(String::new, |place| format!("{place}: "))
}
