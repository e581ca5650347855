//! `completions`: prints scripts for command completion in shells.

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
    /// Shell that the script is for
    shell: Shell,
}

impl Completions {
    /// Prints the script to standard output.
    pub fn run(&self) -> Result<(), CliError> {
        let mut command = Cli::command();
        clap_complete::generate(self.shell, &mut command, "chestnutnotch", &mut io::stdout());
        Ok(())
    }
}
