//! `check`: reads the files of a configuration and says what is wrong with them.

use std::path::PathBuf;

use chestnutnotch::publish;
use chestnutnotch::publish::Collected;
use clap::Args;
use serde::Serialize;

use crate::CliError;

use super::Context;

/// Checks the configuration files below a folder, without a fleet
///
/// Reads every .toml file below DIR as `publish` would and names file, line and what was expected.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  chestnutnotch check services/")]
pub struct Check {
    /// Folder that is searched
    dir: PathBuf,
}

/// What a configuration holds.
#[derive(Debug, Serialize)]
pub struct Summary {
    files: usize,
    workspaces: usize,
    budgets: usize,
    models: usize,
    services: usize,
}

impl Check {
    /// Runs the command.
    pub fn run(&self, context: &Context) -> Result<(), CliError> {
        let collected = publish::collect(&self.dir)?;
        context.show(&Summary::of(&collected), Summary::line)
    }
}

impl Summary {
    /// Counts the tables.
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
