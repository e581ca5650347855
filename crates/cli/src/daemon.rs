//! What the daemons share: the settings file, the log, the signals that stop them.

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

/// Arguments of a daemon.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// Settings file
    pub settings: PathBuf,
}

/// Why a daemon ended.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The runtime or the signals could not be set up.
    #[error("can't start: {0}")]
    Start(std::io::Error),
    /// A fault that was switched on ended the process.
    #[error("ended by a switched fault")]
    Crashed,
}

/// Runs a daemon: reads the settings, starts the runtime and reports how it ended.
pub fn run<S, F>(serve: impl FnOnce(S) -> F) -> ExitCode
where
    S: DeserializeOwned,
    F: Future<Output = Result<(), CliError>>,
{
    log_to_stderr();
    let ended = file::read(&Args::parse().settings)
        .map_err(CliError::from)
        .and_then(|settings| block_on(serve(settings)));
    report(ended)
}

/// Runs a future on a new runtime.
///
/// # Errors
///
/// [`ServeError::Start`], or what the future ends with.
pub fn block_on(work: impl Future<Output = Result<(), CliError>>) -> Result<(), CliError> {
    tokio::runtime::Runtime::new()
        .map_err(ServeError::Start)?
        .block_on(work)
}

/// Prints an error and picks the exit code.
pub fn report(ended: Result<(), CliError>) -> ExitCode {
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.code()
        }
    }
}

/// Sends log lines to standard error, from `info` on unless `RUST_LOG` says otherwise.
pub fn log_to_stderr() {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(LevelFilter::Info).parse_default_env();
    // A second call, as in tests, keeps the first log.
    let _ = builder.try_init();
}

/// Resolves at the first SIGTERM or Ctrl-C.
///
/// # Errors
///
/// [`ServeError::Start`].
pub fn stopped() -> Result<impl Future<Output = ()> + Send + 'static, CliError> {
    let mut term = signal(SignalKind::terminate()).map_err(ServeError::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ServeError::Start)?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
