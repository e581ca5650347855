//! The router daemon.

use std::process::ExitCode;

use chestnutnotch::settings::Settings;
use chestnutnotch_cli::CliError;
use chestnutnotch_cli::daemon;

fn main() -> ExitCode {
    daemon::run(serve)
}

async fn serve(settings: Settings) -> Result<(), CliError> {
    let stop = daemon::stopped()?;
    drop(settings);
    stop.await;
    Ok(())
}
