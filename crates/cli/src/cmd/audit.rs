//! `audit`: lists the accepted and refused changes with their operators and times.

use chestnutnotch_wire::proto::AuditRequest;
use chestnutnotch_wire::proto::AuditRow;
use clap::Args;
use serde::Serialize;

use crate::CliError;
use crate::text;

use super::Context;

/// Shows the audit trail, oldest first: every accepted or refused change and its operator
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch audit
  chestnutnotch audit --by ayse --subject desks
  chestnutnotch audit --since 1200 --json")]
pub struct Audit {
    /// Show only entries after this index
    #[arg(long, default_value_t = 0)]
    since: u64,
    /// Show only changes by this operator
    #[arg(long)]
    by: Option<String>,
    /// Show only changes to this budget, host or other subject
    #[arg(long)]
    subject: Option<String>,
    /// Maximum number of entries; the newest ones are shown
    #[arg(long, default_value_t = 100)]
    most: u32,
}

/// One entry of the audit trail, as printed.
#[derive(Debug, Serialize)]
struct Row {
    index: u64,
    /// Unix time in milliseconds.
    at: u64,
    operator: String,
    action: String,
    /// Budget, host or other object of the change.
    subject: String,
    /// Value before the change.
    before: String,
    /// Value after the change.
    after: String,
    /// Reason of a refusal; empty if the change was accepted.
    refused: String,
}

impl Audit {
    /// Fetches the entries that match the options and prints them.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let request = AuditRequest {
            since: self.since,
            operator: self.by.clone().unwrap_or_default(),
            subject: self.subject.clone().unwrap_or_default(),
            most: self.most,
        };
        let entries = context
            .read_client()?
            .audit(request, context.timeout())
            .await?;
        let rows: Vec<Row> = entries.into_iter().map(Row::from).collect();
        context.print(&rows, |rows| {
            let lines = rows.iter().map(Row::cells);
            text::table(
                &std::iter::once(Row::headings())
                    .chain(lines)
                    .collect::<Vec<_>>(),
            )
        })
    }
}

impl Row {
    fn headings() -> [String; 7] {
        [
            "index", "at", "operator", "action", "subject", "before", "after",
        ]
        .map(str::to_owned)
    }

    fn cells(&self) -> [String; 7] {
        let after = match self.refused.is_empty() {
            true => self.after.clone(),
            false => format!("refused: {}", self.refused),
        };
        [
            self.index.to_string(),
            text::utc(self.at),
            self.operator.clone(),
            self.action.clone(),
            self.subject.clone(),
            self.before.clone(),
            after,
        ]
    }
}

impl From<AuditRow> for Row {
    fn from(row: AuditRow) -> Self {
        Self {
            index: row.index,
            at: row.at,
            operator: row.operator,
            action: row.action,
            subject: row.subject,
            before: row.before,
            after: row.after,
            refused: row.refused,
        }
    }
}
