//! `config`: shows the configuration in force and earlier revisions.

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
        /// Revision to show; by default the one in force
        #[arg(long)]
        revision: Option<u64>,
    },
    /// Lists the retained revisions with their number, time and operator
    #[command(after_help = "Example:\n  chestnutnotch config history --json")]
    History,
}

/// One retained revision, as printed.
#[derive(Debug, Serialize)]
struct RevisionRow {
    revision: u64,
    /// Unix time in milliseconds.
    at: u64,
    operator: String,
}

/// A revision and its configuration, as printed.
#[derive(Debug, Serialize)]
struct ConfigOutput {
    revision: u64,
    document: Document,
}

impl Config {
    /// Runs the chosen subcommand.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        match self {
            Self::Show { revision } => show(context, revision.unwrap_or(0)).await,
            Self::History => history(context).await,
        }
    }
}

/// Prints a revision; zero stands for the one in force.
async fn show(context: &Context, revision: u64) -> Result<(), CliError> {
    let history = context
        .read_client()?
        .history(revision, context.timeout())
        .await?;
    let accepted = history.accepted.map(Accepted::try_from).transpose();
    let accepted = accepted
        .map_err(|_| CliError::UnexpectedReply)?
        .filter(|accepted| revision == 0 || accepted.revision.0 == revision)
        .ok_or(CliError::NoRevision(revision))?;
    let output = ConfigOutput {
        revision: accepted.revision.0,
        document: accepted.document.as_ref().clone(),
    };
    context.print(&output, |output| {
        let tables = toml::to_string(&output.document).unwrap_or_default();
        format!("# revision {}\n{tables}", output.revision)
    })
}

async fn history(context: &Context) -> Result<(), CliError> {
    let history = context.read_client()?.history(0, context.timeout()).await?;
    let rows: Vec<RevisionRow> = history
        .revisions
        .into_iter()
        .map(|accepted| RevisionRow {
            revision: accepted.revision,
            at: accepted.at,
            operator: accepted.operator,
        })
        .collect();
    context.print(&rows, |rows| {
        let headings = ["revision", "at", "operator"].map(str::to_owned);
        let lines = rows.iter().map(|row| {
            [
                row.revision.to_string(),
                text::utc(row.at),
                row.operator.clone(),
            ]
        });
        text::table(&std::iter::once(headings).chain(lines).collect::<Vec<_>>())
    })
}
