//! Collects TOML files, kept beside the code of the services, into one configuration.

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

/// Most files in one configuration.
const MAX_FILES: usize = 10_000;

/// Deepest level of folders below the given one that is searched.
const MAX_DEPTH: usize = 16;

/// Why the files do not make a valid configuration.
#[derive(Debug, Error)]
pub enum PublishError {
    /// A file can't be read or parsed.
    #[error(transparent)]
    File(#[from] FileError),
    /// Two tables of one kind have the same name.
    #[error("{place}: {kind} {name} is declared already at {first}")]
    Duplicate {
        /// The second table.
        place: Place,
        /// Kind of both tables.
        kind: Kind,
        /// The shared name.
        name: Arc<str>,
        /// The first table.
        first: Place,
    },
    /// The collected tables contradict each other or have values out of range.
    #[error("{}{source}", location_prefix(.place))]
    Inconsistent {
        /// Place of the faulty table, if the error is about one.
        place: Option<Place>,
        /// Failed check.
        source: ConfigError,
    },
    /// The folder contains no `.toml` file.
    #[error("{}: expected at least one .toml file", .0.display())]
    Empty(PathBuf),
    /// The folder contains too many `.toml` files.
    #[error("{}: more than {MAX_FILES} .toml files", .0.display())]
    TooManyFiles(PathBuf),
    /// The folders are nested too deeply.
    #[error("{}: folders nested deeper than {MAX_DEPTH}", .0.display())]
    TooDeep(PathBuf),
}

/// A configuration with the place of each of its tables.
#[derive(Debug, Default)]
pub struct Collected {
    /// The collected configuration.
    pub document: Document,
    /// The files that it was collected from.
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

/// Collects all `.toml` files below a folder, in the order of their paths, and checks the resulting
/// configuration.
///
/// # Errors
///
/// See [`PublishError`].
pub fn collect(folder: &Path) -> Result<Collected, PublishError> {
    let mut files = Vec::new();
    find_files(folder, 0, &mut files)?;
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

    /// Checks the collected configuration.
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

    /// Returns the place of the table that an error is about, if it was collected.
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

    /// Records the place of a table. Fails if a table of that kind and name is known.
    fn record_place(&mut self, kind: Kind, name: &str, place: Place) -> Result<(), PublishError> {
        let name: Arc<str> = name.into();
        let previous = self.places.get(&(kind, name.clone()));
        if let Some(first) = previous.cloned() {
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

/// Adds the paths of all `.toml` files in a folder and the folders below it.
fn find_files(folder: &Path, depth: usize, files: &mut Vec<PathBuf>) -> Result<(), PublishError> {
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
            find_files(&path, depth + 1, files)?;
        } else if path.extension().is_some_and(|end| end == "toml") {
            files.push(path);
        }
        if files.len() > MAX_FILES {
            return Err(PublishError::TooManyFiles(folder.to_owned()));
        }
    }
    Ok(())
}

/// Returns a place as the beginning of an error message, or nothing.
fn location_prefix(place: &Option<Place>) -> String {
    place
        .as_ref()
        .map_or_else(String::new, |place| format!("{place}: "))
}
