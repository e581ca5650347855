//! Daemon that runs one stand-in upstream, for tests and trials.

use std::process::ExitCode;

use chestnutnotch_cli::CliError;
use chestnutnotch_cli::daemon;
use chestnutnotch_standin::ExitReason;
use chestnutnotch_standin::Settings;
use chestnutnotch_standin::Standin;

fn main() -> ExitCode {
    daemon::run(serve)
}

async fn serve(settings: Settings) -> Result<(), CliError> {
    let stop = daemon::stop_signal()?;
    match Standin::bind(settings).await?.run(stop).await {
        ExitReason::Stopped => Ok(()),
        ExitReason::Crashed => Err(daemon::ServeError::Crashed.into()),
    }
}
