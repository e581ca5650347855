//! `check`: validates the files of a configuration without a fleet.

use std::path::PathBuf;

use chestnutnotch::publish;
use chestnutnotch::publish::Collected;
use clap::Args;
use serde::Serialize;

use crate::CliError;

use super::Context;

/// Checks the configuration files below a folder, without a fleet
///
/// Reads every .toml file below DIR as `publish` does. An error names the file, the line and what
/// was expected.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  chestnutnotch check services/")]
pub struct Check {
    /// Folder to search for .toml files
    dir: PathBuf,
}

/// Number of files and of tables of each kind in a configuration.
#[derive(Debug, Serialize)]
pub struct Summary {
    files: usize,
    workspaces: usize,
    budgets: usize,
    models: usize,
    services: usize,
}

impl Check {
    /// Reads and validates the files and prints a summary of them.
    pub fn run(&self, context: &Context) -> Result<(), CliError> {
        let collected = publish::collect(&self.dir)?;
        context.print(&Summary::of(&collected), Summary::line)
    }
}

impl Summary {
    /// Counts the files and tables of a collected configuration.
    pub fn of(collected: &Collected) -> Self {
        Self {
            files: collected.files.len(),
            workspaces: collected.document.workspaces.len(),
            budgets: collected.document.budgets.len(),
            models: collected.document.models.len(),
            services: collected.document.services.len(),
        }
    }

    fn line(&self) -> String {
        format!(
            "valid: {} files, {} workspaces, {} budgets, {} models, {} services",
            self.files, self.workspaces, self.budgets, self.models, self.services
        )
    }
}
