//! `config`: the configuration in force, and the ones before it.

use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::config::Document;
use clap::Subcommand;
use serde::Serialize;

use crate::CliError;
use crate::text;

use super::Context;

/// Shows the accepted configuration and its history
#[derive(Debug, Subcommand)]
pub enum Config {
    /// Prints the configuration in force, or an earlier one, as TOML
    #[command(after_help = "Example:\n  chestnutnotch config show --revision 41")]
    Show {
        /// Revision to show
        #[arg(long)]
        revision: Option<u64>,
    },
    /// Lists the revisions that are kept: number, time, operator
    #[command(after_help = "Example:\n  chestnutnotch config history --json")]
    History,
}

#[derive(Debug, Serialize)]
struct Past {
    revision: u64,
    at: u64,
    operator: String,
}

#[derive(Debug, Serialize)]
struct Shown {
    revision: u64,
    document: Document,
}

impl Config {
    /// Runs the command.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        match self {
            Self::Show { revision } => show(context, revision.unwrap_or(0)).await,
            Self::History => history(context).await,
        }
    }
}

async fn show(context: &Context, revision: u64) -> Result<(), CliError> {
    let history = context
        .reader()?
        .history(revision, context.within())
        .await?;
    let found = history.accepted.map(Accepted::try_from).transpose();
    let accepted = found
        .map_err(|_| CliError::Unexpected)?
        .filter(|accepted| revision == 0 || accepted.revision.0 == revision)
        .ok_or(CliError::NoRevision(revision))?;
    let shown = Shown {
        revision: accepted.revision.0,
        document: accepted.document.as_ref().clone(),
    };
    context.show(&shown, |shown| {
        let tables = toml::to_string(&shown.document).unwrap_or_default();
        format!("# revision {}\n{tables}", shown.revision)
    })
}

async fn history(context: &Context) -> Result<(), CliError> {
    let history = context.reader()?.history(0, context.within()).await?;
    let rows: Vec<Past> = history
        .revisions
        .into_iter()
        .map(|past| Past {
            revision: past.revision,
            at: past.at,
            operator: past.operator,
        })
        .collect();
    context.show(&rows, |rows| {
        let head = ["revision", "at", "operator"].map(str::to_owned);
        let lines = rows.iter().map(|row| {
            [
                row.revision.to_string(),
                text::utc(row.at),
                row.operator.clone(),
            ]
        });
        text::table(&std::iter::once(head).chain(lines).collect::<Vec<_>>())
    })
}
