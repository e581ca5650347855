//! The operator's command line.

use std::process::ExitCode;

use chestnutnotch_cli::cmd::Cli;
use chestnutnotch_cli::daemon;
use clap::Parser;

fn main() -> ExitCode {
    daemon::report(Cli::parse().run())
}
