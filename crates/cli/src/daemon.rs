//! Code common to all daemons: settings file, logging and stop signals.

use std::path::PathBuf;
use std::process::ExitCode;

use chestnutnotch::file;
use clap::Parser;
use log::LevelFilter;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::CliError;

/// Command-line arguments of a daemon.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// Path of the settings file
    pub settings: PathBuf,
}

/// Error that ends a daemon.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The runtime, the signal handlers or a listener could not be set up.
    #[error("can't start: {0}")]
    Start(std::io::Error),
    /// A stand-in crashed because of an injected fault.
    #[error("ended by a switched fault")]
    Crashed,
}

/// Runs a daemon: reads the settings, starts the runtime and reports the result.
pub fn run<S, F>(serve: impl FnOnce(S) -> F) -> ExitCode
where
    S: DeserializeOwned,
    F: Future<Output = Result<(), CliError>>,
{
    log_to_stderr();
    let result = file::read(&Args::parse().settings)
        .map_err(CliError::from)
        .and_then(|settings| block_on(serve(settings)));
    report(result)
}

/// Runs a future on a new runtime.
///
/// # Errors
///
/// [`ServeError::Start`], or the error of the future.
pub fn block_on(work: impl Future<Output = Result<(), CliError>>) -> Result<(), CliError> {
    tokio::runtime::Runtime::new()
        .map_err(ServeError::Start)?
        .block_on(work)
}

/// Prints the error, if any, and returns the exit code.
pub fn report(result: Result<(), CliError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}

/// Sends log lines to standard error, at level `info` and above unless `RUST_LOG` sets another
/// level.
pub fn log_to_stderr() {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(LevelFilter::Info).parse_default_env();
    // Fails if a logger is already installed, as in tests; that one stays.
    let _ = builder.try_init();
}

/// Returns a future that resolves at the first SIGTERM or Ctrl-C.
///
/// # Errors
///
/// [`ServeError::Start`].
pub fn stop_signal() -> Result<impl Future<Output = ()> + Send + 'static, CliError> {
    let mut term = signal(SignalKind::terminate()).map_err(ServeError::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ServeError::Start)?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
