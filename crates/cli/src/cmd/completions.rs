//! `completions`: scripts that let a shell complete the commands.

use std::io;

use clap::Args;
use clap::CommandFactory;
use clap_complete::Shell;

use crate::CliError;

use super::Cli;

/// Prints a completion script for a shell
#[derive(Args, Debug)]
#[command(
    after_help = "Example:\n  chestnutnotch completions bash > ~/.local/share/bash-completion/completions/chestnutnotch"
)]
pub struct Completions {
    /// The shell
    shell: Shell,
}

impl Completions {
    /// Runs the command.
    pub fn run(&self) -> Result<(), CliError> {
        let mut command = Cli::command();
        clap_complete::generate(self.shell, &mut command, "chestnutnotch", &mut io::stdout());
        Ok(())
    }
}
