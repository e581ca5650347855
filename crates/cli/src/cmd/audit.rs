//! `audit`: who changed what, when, from what to what.

use chestnutnotch_wire::proto::AuditRequest;
use chestnutnotch_wire::proto::AuditRow;
use clap::Args;
use serde::Serialize;

use crate::CliError;
use crate::text;

use super::Context;

/// Shows the audit trail, oldest first: each accepted or refused change with its operator
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch audit
  chestnutnotch audit --by ayse --subject desks
  chestnutnotch audit --since 1200 --json")]
pub struct Audit {
    /// Only entries after this index
    #[arg(long, default_value_t = 0)]
    since: u64,
    /// Only changes by this operator
    #[arg(long)]
    by: Option<String>,
    /// Only changes of this budget, host or other subject
    #[arg(long)]
    subject: Option<String>,
    /// At most so many entries, the newest ones
    #[arg(long, default_value_t = 100)]
    most: u32,
}

#[derive(Debug, Serialize)]
struct Row {
    index: u64,
    at: u64,
    operator: String,
    action: String,
    subject: String,
    before: String,
    after: String,
    refused: String,
}

impl Audit {
    /// Runs the command.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let request = AuditRequest {
            since: self.since,
            operator: self.by.clone().unwrap_or_default(),
            subject: self.subject.clone().unwrap_or_default(),
            most: self.most,
        };
        let found = context.reader()?.audit(request, context.within()).await?;
        let rows: Vec<Row> = found.into_iter().map(Row::from).collect();
        context.show(&rows, |rows| {
            let lines = rows.iter().map(Row::cells);
            text::table(
                &std::iter::once(Row::head())
                    .chain(lines)
                    .collect::<Vec<_>>(),
            )
        })
    }
}

impl Row {
    fn head() -> [String; 7] {
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
