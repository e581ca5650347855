//! Daemon that runs one router.

use std::process::ExitCode;

use chestnutnotch::router;
use chestnutnotch::settings::Settings;
use chestnutnotch::timer::Timer;
use chestnutnotch_cli::CliError;
use chestnutnotch_cli::daemon;

fn main() -> ExitCode {
    daemon::run(serve)
}

async fn serve(settings: Settings) -> Result<(), CliError> {
    let stop = daemon::stop_signal()?;
    router::run(settings, Timer::new(), stop).await?;
    Ok(())
}
