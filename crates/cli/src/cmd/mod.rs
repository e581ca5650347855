//! The operator's command line, with one module for each command.

mod audit;
mod budget;
mod check;
mod completions;
mod config;
mod context;
mod dev;
mod evacuate;
mod host;
mod key;
mod publish;
mod status;

use clap::Parser;
use clap::Subcommand;

use crate::CliError;
use crate::daemon;

pub use context::Context;

const EXAMPLES: &str = "\
Examples:
  chestnutnotch dev
  chestnutnotch check services/
  chestnutnotch publish services/ --operator ayse --control 10.0.0.1:7100,10.0.0.2:7100
  chestnutnotch budget top-up desks 500000
  chestnutnotch audit --by ayse --json

Exit codes:
  0 done   1 failed   2 wrong arguments or settings   3 configuration invalid
  4 refused by the fleet   5 no control quorum answered   6 no such thing";

/// Operates a chestnutnotch fleet.
#[derive(Debug, Parser)]
#[command(name = "chestnutnotch", version, after_help = EXAMPLES)]
pub struct Cli {
    #[command(flatten)]
    context: Context,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Dev(dev::Dev),
    Check(check::Check),
    Publish(publish::Publish),
    #[command(subcommand)]
    Config(config::Config),
    #[command(subcommand)]
    Budget(budget::Budget),
    #[command(subcommand)]
    Host(host::Host),
    Evacuate(evacuate::Evacuate),
    Status(status::Status),
    Audit(audit::Audit),
    Key(key::Key),
    Completions(completions::Completions),
}

impl Cli {
    /// Runs the command that the arguments name.
    ///
    /// # Errors
    ///
    /// The error of the command; [`CliError::exit_code`] maps it to an exit code.
    pub fn run(self) -> Result<(), CliError> {
        let context = self.context;
        match self.command {
            Command::Check(command) => command.run(&context),
            Command::Key(command) => command.run(&context),
            Command::Completions(command) => command.run(),
            Command::Dev(command) => {
                daemon::log_to_stderr();
                daemon::block_on(command.run())
            }
            Command::Publish(command) => daemon::block_on(command.run(&context)),
            Command::Config(command) => daemon::block_on(command.run(&context)),
            Command::Budget(command) => daemon::block_on(command.run(&context)),
            Command::Host(command) => daemon::block_on(command.run(&context)),
            Command::Evacuate(command) => daemon::block_on(command.run(&context)),
            Command::Status(command) => daemon::block_on(command.run(&context)),
            Command::Audit(command) => daemon::block_on(command.run(&context)),
        }
    }
}
