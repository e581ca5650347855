//! Daemon that runs one control replica.

use std::process::ExitCode;

use chestnutnotch::control;
use chestnutnotch::settings::Settings;
use chestnutnotch::timer::Timer;
use chestnutnotch_cli::CliError;
use chestnutnotch_cli::daemon;

fn main() -> ExitCode {
    daemon::run(serve)
}

async fn serve(settings: Settings) -> Result<(), CliError> {
    let stop = daemon::stop_signal()?;
    control::run(settings, Timer::new(), stop).await?;
    Ok(())
}
