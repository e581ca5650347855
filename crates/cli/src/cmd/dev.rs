//! `dev`: runs a whole fleet in one process on loopback.

mod fleet;

use std::path::PathBuf;

use clap::Args;

use crate::CliError;
use crate::daemon;

use fleet::Fleet;

/// Runs a whole fleet in this process on loopback, with stand-in upstreams
///
/// Prints a line that starts with `ready` once it serves requests, and then a `curl` command for
/// a chat request, ready to paste. Shuts down cleanly on SIGTERM and Ctrl-C.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch dev
  chestnutnotch dev --port 0 --data /var/tmp/chestnutnotch")]
pub struct Dev {
    /// Port for requests of callers; 0 picks a free port
    #[arg(long, default_value_t = 8080)]
    port: u16,
    /// Folder for the state of the control replica, instead of a temporary one
    #[arg(long)]
    data: Option<PathBuf>,
}

impl Dev {
    /// Runs the fleet until a signal arrives or a component fails.
    pub async fn run(&self) -> Result<(), CliError> {
        let stop = daemon::stop_signal()?;
        tokio::pin!(stop);
        let starting = Fleet::start(self.port, self.data.clone());
        let mut fleet = tokio::select! {
            () = &mut stop => return Ok(()),
            fleet = starting => fleet?,
        };
        let result = tokio::select! {
            () = stop => Ok(()),
            error = fleet.failed() => Err(error),
        };
        fleet.stop().await;
        result
    }
}
