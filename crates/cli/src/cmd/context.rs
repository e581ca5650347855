//! Options common to all commands: the operator, the control replicas and the output format.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chestnutnotch::edges::rpc::ControlClient;
use chestnutnotch::edges::rpc::ControlError;
use chestnutnotch::file;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::SubmissionId;
use clap::Args;
use serde::Deserialize;
use serde::Serialize;

use crate::CliError;
use crate::text;

/// Options common to all commands.
#[derive(Args, Debug)]
pub struct Context {
    /// Your name, as recorded in the audit trail
    #[arg(long, global = true, env = "CHESTNUTNOTCH_OPERATOR")]
    operator: Option<String>,
    /// Addresses of the control replicas
    #[arg(
        long,
        global = true,
        env = "CHESTNUTNOTCH_CONTROL",
        value_delimiter = ','
    )]
    control: Vec<SocketAddr>,
    /// Settings file with `operator` and `control`, used where the options are not given
    #[arg(long, global = true, env = "CHESTNUTNOTCH_SETTINGS")]
    settings: Option<PathBuf>,
    /// Maximum time to wait for the control replicas, in seconds
    #[arg(long, global = true, default_value_t = 10)]
    within: u64,
    /// Print JSON instead of text
    #[arg(long, global = true)]
    json: bool,
}

/// Contents of the file that `--settings` names.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Settings {
    operator: Option<String>,
    control: Vec<SocketAddr>,
}

impl Context {
    /// Returns a client for queries, which need no operator.
    ///
    /// # Errors
    ///
    /// [`CliError::NoControl`], or [`CliError::Settings`] if the settings file is invalid.
    pub fn read_client(&self) -> Result<ControlClient, CliError> {
        let operator = self.operator()?.unwrap_or_else(|| Operator::new("reader"));
        Ok(ControlClient::new(self.control_addresses()?, operator))
    }

    /// Returns a client for changes, which are recorded under the operator's name.
    ///
    /// # Errors
    ///
    /// [`CliError::NoOperator`], [`CliError::NoControl`], or [`CliError::Settings`] if the settings
    /// file is invalid.
    pub fn write_client(&self) -> Result<ControlClient, CliError> {
        let operator = self.operator()?.ok_or(CliError::NoOperator)?;
        Ok(ControlClient::new(self.control_addresses()?, operator))
    }

    /// Returns the addresses of the control replicas.
    ///
    /// # Errors
    ///
    /// [`CliError::NoControl`], or [`CliError::Settings`] if the settings file is invalid.
    pub fn control_addresses(&self) -> Result<Vec<SocketAddr>, CliError> {
        if !self.control.is_empty() {
            return Ok(self.control.clone());
        }
        let control = self.settings()?.control;
        match control.is_empty() {
            true => Err(CliError::NoControl),
            false => Ok(control),
        }
    }

    /// Returns the maximum time to wait for the control replicas.
    pub fn timeout(&self) -> Duration {
        Duration::from_secs(self.within)
    }

    /// Submits a change. Prints its submission id first, so that the operator can resend the change
    /// if the answer is lost.
    ///
    /// # Errors
    ///
    /// [`CliError::Refused`], or [`CliError::OutcomeUnknown`] if no answer arrived. Also those of
    /// [`Context::write_client`].
    pub async fn submit(&self, id: &SubmissionId, command: Command) -> Result<Reply, CliError> {
        let client = self.write_client()?;
        eprintln!("submission {id}");
        let reply = client.submit(command, self.timeout()).await;
        let outcome_unknown = |source: ControlError| CliError::OutcomeUnknown {
            id: id.clone(),
            source,
        };
        match reply.map_err(outcome_unknown)? {
            Reply::Refused(refusal) => Err(CliError::Refused(refusal)),
            reply => Ok(reply),
        }
    }

    /// Prints a value as JSON if `--json` is given, and otherwise as formatted by `plain`.
    ///
    /// # Errors
    ///
    /// [`CliError::Serialize`].
    pub fn print<T: Serialize>(
        &self,
        value: &T,
        plain: impl FnOnce(&T) -> String,
    ) -> Result<(), CliError> {
        match self.json {
            true => println!("{}", serde_json::to_string_pretty(value)?),
            false => println!("{}", plain(value).trim_end()),
        }
        Ok(())
    }

    fn operator(&self) -> Result<Option<Operator>, CliError> {
        let name = match &self.operator {
            Some(name) => Some(name.clone()),
            None => self.settings()?.operator,
        };
        Ok(name.map(Operator::new))
    }

    fn settings(&self) -> Result<Settings, CliError> {
        match &self.settings {
            Some(path) => Ok(file::read(path)?),
            None => Ok(Settings::default()),
        }
    }
}

/// Returns the given submission id, or a new random one.
///
/// # Errors
///
/// [`CliError::Random`].
pub fn submission_id(given: Option<&str>) -> Result<SubmissionId, CliError> {
    match given {
        Some(id) => Ok(SubmissionId::new(id)),
        None => text::random_hex().map(SubmissionId::new),
    }
}
