//! `budget`: shows the prepaid, spent and remaining tokens of budgets, and adds tokens.

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::TopUp;
use chestnutnotch_core::id::Budget as Name;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_wire::proto::BudgetRow;
use clap::Subcommand;
use serde::Serialize;

use crate::CliError;
use crate::text;

use super::Context;
use super::context::submission_id;

/// Shows budgets and adds tokens to them
#[derive(Debug, Subcommand)]
pub enum Budget {
    /// Prints the prepaid, remaining, allotted and billed tokens of budgets
    #[command(after_help = "Examples:
  chestnutnotch budget show
  chestnutnotch budget show desks --json")]
    Show {
        /// Show only this budget
        name: Option<String>,
    },
    /// Adds prepaid tokens to a budget; a resend with the same --id adds nothing more
    #[command(after_help = "Example:\n  chestnutnotch budget top-up desks 500000")]
    TopUp {
        /// Name of the budget
        name: String,
        /// Number of tokens to add
        amount: u64,
        /// Submission id of an earlier attempt whose answer was lost
        #[arg(long)]
        id: Option<String>,
    },
}

/// One budget, as printed. All amounts are in tokens.
#[derive(Debug, Serialize)]
struct Row {
    budget: String,
    prepaid: u64,
    /// Prepaid tokens that are neither allotted to a router nor spent.
    unallotted: u64,
    /// Tokens that routers hold and may spend.
    allotted: u64,
    /// Tokens used by billed requests.
    billed: u64,
    /// Tokens that upstreams produced without a bill.
    wasted: u64,
    /// Unspent tokens of closed allotments whose use is not settled.
    unknown: u64,
    /// Number of billed requests.
    bills: u64,
}

/// Result of a top-up, as printed.
#[derive(Debug, Serialize)]
struct TopUpOutput {
    budget: String,
    /// Prepaid tokens after the top-up.
    prepaid: u64,
    /// Submission id, which a resend has to name.
    id: String,
}

impl Budget {
    /// Runs the chosen subcommand.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        match self {
            Self::Show { name } => show(context, name.as_deref()).await,
            Self::TopUp { name, amount, id } => top_up(context, name, *amount, id.as_deref()).await,
        }
    }
}

async fn show(context: &Context, name: Option<&str>) -> Result<(), CliError> {
    let client = context.read_client()?;
    let budgets = client
        .budgets(name.unwrap_or_default(), context.timeout())
        .await?;
    if let (Some(name), true) = (name, budgets.is_empty()) {
        return Err(CliError::NoBudget(Name::new(name)));
    }
    let rows: Vec<Row> = budgets.into_iter().map(Row::from).collect();
    context.print(&rows, |rows| {
        let lines = rows.iter().map(Row::cells);
        text::table(
            &std::iter::once(Row::headings())
                .chain(lines)
                .collect::<Vec<_>>(),
        )
    })
}

async fn top_up(
    context: &Context,
    name: &str,
    amount: u64,
    id: Option<&str>,
) -> Result<(), CliError> {
    let id = submission_id(id)?;
    let command = Command::TopUp(TopUp {
        id: id.clone(),
        budget: Name::new(name),
        amount: Tokens(amount),
    });
    let Reply::ToppedUp(prepaid) = context.submit(&id, command).await? else {
        return Err(CliError::UnexpectedReply);
    };
    let output = TopUpOutput {
        budget: name.to_owned(),
        prepaid: prepaid.0,
        id: id.to_string(),
    };
    context.print(&output, |output| {
        format!("{}: {} tokens prepaid", output.budget, output.prepaid)
    })
}

impl Row {
    fn headings() -> [String; 8] {
        [
            "budget",
            "prepaid",
            "unallotted",
            "allotted",
            "billed",
            "wasted",
            "unknown",
            "bills",
        ]
        .map(str::to_owned)
    }

    fn cells(&self) -> [String; 8] {
        [
            self.budget.clone(),
            self.prepaid.to_string(),
            self.unallotted.to_string(),
            self.allotted.to_string(),
            self.billed.to_string(),
            self.wasted.to_string(),
            self.unknown.to_string(),
            self.bills.to_string(),
        ]
    }
}

impl From<BudgetRow> for Row {
    fn from(row: BudgetRow) -> Self {
        Self {
            budget: row.budget,
            prepaid: row.prepaid,
            unallotted: row.unallotted,
            allotted: row.allotted,
            billed: row.billed,
            wasted: row.wasted,
            unknown: row.unknown,
            bills: row.bills,
        }
    }
}
