//! `publish`: collects the files and hands them to the fleet as one revision.

use std::path::PathBuf;
use std::sync::Arc;

use chestnutnotch::publish;
use chestnutnotch::publish::Collected;
use chestnutnotch::publish::PublishError;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Publish as Submission;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::unit::Revision;
use clap::Args;
use serde::Serialize;

use crate::CliError;

use super::Context;
use super::context::submission;

/// Publishes the configuration files below a folder as one revision
///
/// The revision in force is the base, unless --base names another. Of two operators with the same
/// base one wins; the other is told who did. A resend with the same --id and --base gets the first
/// answer.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch publish services/ --operator ayse
  chestnutnotch publish services/ --operator ayse --base 41 --id 6f0c51aa0d3e4b7c9e21f5d8a2b4c6e0")]
pub struct Publish {
    /// Folder that is searched
    dir: PathBuf,
    /// Submission id of an earlier try whose answer was lost
    #[arg(long)]
    id: Option<String>,
    /// Revision that the files were edited from; by default the one in force
    #[arg(long)]
    base: Option<u64>,
}

#[derive(Debug, Serialize)]
struct Published {
    revision: u64,
    base: u64,
    id: String,
}

impl Publish {
    /// Runs the command.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let collected = publish::collect(&self.dir)?;
        let id = submission(self.id.as_deref())?;
        let base = self.base(context).await?;
        eprintln!("base {base}");
        let command = Command::Publish(Submission {
            id: id.clone(),
            base,
            document: Arc::new(collected.document.clone()),
        });
        let reply = context.submit(&id, command).await;
        let Reply::Accepted(revision) = reply.map_err(|error| locate(error, &collected))? else {
            return Err(CliError::Unexpected);
        };
        let published = Published {
            revision: revision.0,
            base: base.0,
            id: id.to_string(),
        };
        context.show(&published, |done| {
            format!("accepted as revision {}", done.revision)
        })
    }

    async fn base(&self, context: &Context) -> Result<Revision, CliError> {
        if let Some(base) = self.base {
            return Ok(Revision(base));
        }
        let history = context.reader()?.history(0, context.within()).await?;
        Ok(Revision(history.accepted.map_or(0, |now| now.revision)))
    }
}

/// Names the file and line that a refusal speaks of.
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
