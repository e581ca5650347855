//! `publish`: submits the configuration files of a folder to the fleet as one revision.

use std::path::PathBuf;
use std::sync::Arc;

use chestnutnotch::publish;
use chestnutnotch::publish::Collected;
use chestnutnotch::publish::PublishError;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Publish as PublishCommand;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::unit::Revision;
use clap::Args;
use serde::Serialize;

use crate::CliError;

use super::Context;
use super::context::submission_id;

/// Publishes the configuration files below a folder as one revision
///
/// The base is the revision in force, unless --base names another one. If two operators publish
/// from the same base, one is accepted; the refusal of the other names the accepted operator. A
/// resend with the same --id and --base gets the first answer.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch publish services/ --operator ayse
  chestnutnotch publish services/ --operator ayse --base 41 --id 6f0c51aa0d3e4b7c9e21f5d8a2b4c6e0")]
pub struct Publish {
    /// Folder to search for .toml files
    dir: PathBuf,
    /// Submission id of an earlier attempt whose answer was lost
    #[arg(long)]
    id: Option<String>,
    /// Revision that the files were edited from; by default the one in force
    #[arg(long)]
    base: Option<u64>,
}

/// Result of `publish`, as printed.
#[derive(Debug, Serialize)]
struct PublishOutput {
    revision: u64,
    base: u64,
    id: String,
}

impl Publish {
    /// Submits the files and prints the accepted revision.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let collected = publish::collect(&self.dir)?;
        let id = submission_id(self.id.as_deref())?;
        let base = self.base(context).await?;
        eprintln!("base {base}");
        let command = Command::Publish(PublishCommand {
            id: id.clone(),
            base,
            document: Arc::new(collected.document.clone()),
        });
        let reply = context.submit(&id, command).await;
        let Reply::Accepted(revision) = reply.map_err(|error| locate(error, &collected))? else {
            return Err(CliError::UnexpectedReply);
        };
        let output = PublishOutput {
            revision: revision.0,
            base: base.0,
            id: id.to_string(),
        };
        context.print(&output, |output| {
            format!("accepted as revision {}", output.revision)
        })
    }

    /// Returns the base revision: the given one, or else the one in force.
    async fn base(&self, context: &Context) -> Result<Revision, CliError> {
        if let Some(base) = self.base {
            return Ok(Revision(base));
        }
        let history = context.read_client()?.history(0, context.timeout()).await?;
        Ok(Revision(
            history.accepted.map_or(0, |accepted| accepted.revision),
        ))
    }
}

/// Adds the file and line to the refusal of an invalid configuration.
fn locate(error: CliError, collected: &Collected) -> CliError {
    match error {
        CliError::Refused(Refusal::Invalid(source)) => PublishError::Inconsistent {
            place: collected.place(&source),
            source,
        }
        .into(),
        other => other,
    }
}
