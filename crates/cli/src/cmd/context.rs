//! Who asks, whom, and how the answer is shown.

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

/// Options of all commands.
#[derive(Args, Debug)]
pub struct Context {
    /// Your name, for the audit trail
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
    /// Settings file that holds `operator` and `control`
    #[arg(long, global = true, env = "CHESTNUTNOTCH_SETTINGS")]
    settings: Option<PathBuf>,
    /// Longest wait for the control replicas, in seconds
    #[arg(long, global = true, default_value_t = 10)]
    within: u64,
    /// Print JSON
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Settings {
    operator: Option<String>,
    control: Vec<SocketAddr>,
}

impl Context {
    /// A client for questions, which need no operator.
    ///
    /// # Errors
    ///
    /// [`CliError::NoControl`], or a wrong settings file.
    pub fn reader(&self) -> Result<ControlClient, CliError> {
        let operator = self.operator()?.unwrap_or_else(|| Operator::new("reader"));
        Ok(ControlClient::new(self.control()?, operator))
    }

    /// A client for changes, which are recorded under the operator's name.
    ///
    /// # Errors
    ///
    /// [`CliError::NoOperator`], [`CliError::NoControl`], or a wrong settings file.
    pub fn writer(&self) -> Result<ControlClient, CliError> {
        let operator = self.operator()?.ok_or(CliError::NoOperator)?;
        Ok(ControlClient::new(self.control()?, operator))
    }

    /// Addresses of the control replicas.
    ///
    /// # Errors
    ///
    /// [`CliError::NoControl`], or a wrong settings file.
    pub fn control(&self) -> Result<Vec<SocketAddr>, CliError> {
        if !self.control.is_empty() {
            return Ok(self.control.clone());
        }
        let control = self.settings()?.control;
        match control.is_empty() {
            true => Err(CliError::NoControl),
            false => Ok(control),
        }
    }

    /// Longest wait.
    pub fn within(&self) -> Duration {
        Duration::from_secs(self.within)
    }

    /// Submits a change under an id, which it prints first so that a resend can name it.
    ///
    /// # Errors
    ///
    /// [`CliError::Refused`], [`CliError::Unclear`].
    pub async fn submit(&self, id: &SubmissionId, command: Command) -> Result<Reply, CliError> {
        let client = self.writer()?;
        eprintln!("submission {id}");
        let reply = client.submit(command, self.within()).await;
        let unclear = |source: ControlError| CliError::Unclear {
            id: id.clone(),
            source,
        };
        match reply.map_err(unclear)? {
            Reply::Refused(refusal) => Err(CliError::Refused(refusal)),
            reply => Ok(reply),
        }
    }

    /// Prints a value as JSON, or as text.
    ///
    /// # Errors
    ///
    /// [`CliError::Show`].
    pub fn show<T: Serialize>(
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
        let named = match &self.operator {
            Some(name) => Some(name.clone()),
            None => self.settings()?.operator,
        };
        Ok(named.map(Operator::new))
    }

    fn settings(&self) -> Result<Settings, CliError> {
        match &self.settings {
            Some(path) => Ok(file::read(path)?),
            None => Ok(Settings::default()),
        }
    }
}

/// The given submission id, or a new one.
///
/// # Errors
///
/// [`CliError::Random`].
pub fn submission(given: Option<&str>) -> Result<SubmissionId, CliError> {
    match given {
        Some(id) => Ok(SubmissionId::new(id)),
        None => text::random().map(SubmissionId::new),
    }
}
