//! `dev`: a whole fleet in one process on loopback.

mod fleet;

use std::path::PathBuf;

use clap::Args;

use crate::CliError;
use crate::daemon;

use fleet::Fleet;

/// Runs a whole fleet in this process on loopback, with stand-in upstreams
///
/// Prints a line that starts with `ready` when it serves, and then a `curl` command that works when
/// pasted. Ends cleanly on SIGTERM and Ctrl-C.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch dev
  chestnutnotch dev --port 0 --data /var/tmp/chestnutnotch")]
pub struct Dev {
    /// Port for callers; 0 picks a free one
    #[arg(long, default_value_t = 8080)]
    port: u16,
    /// Folder for the control replica's state, in place of a temporary one
    #[arg(long)]
    data: Option<PathBuf>,
}

impl Dev {
    /// Runs the command.
    pub async fn run(&self) -> Result<(), CliError> {
        let stop = daemon::stopped()?;
        tokio::pin!(stop);
        let starting = Fleet::start(self.port, self.data.clone());
        let mut fleet = tokio::select! {
            () = &mut stop => return Ok(()),
            fleet = starting => fleet?,
        };
        let ended = tokio::select! {
            () = stop => Ok(()),
            error = fleet.failed() => Err(error),
        };
        fleet.stop().await;
        ended
    }
}
