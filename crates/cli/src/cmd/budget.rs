//! `budget`: what is prepaid, spent and left, and top-ups.

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
use super::context::submission;

/// Shows budgets and adds to them
#[derive(Debug, Subcommand)]
pub enum Budget {
    /// Prints what is prepaid, allotted to routers, billed and left, in tokens
    #[command(after_help = "Examples:
  chestnutnotch budget show
  chestnutnotch budget show desks --json")]
    Show {
        /// Only this budget
        name: Option<String>,
    },
    /// Adds prepaid tokens to a budget; a resend with the same --id adds nothing
    #[command(after_help = "Example:\n  chestnutnotch budget top-up desks 500000")]
    TopUp {
        /// The budget
        name: String,
        /// Tokens to add
        amount: u64,
        /// Submission id of an earlier try whose answer was lost
        #[arg(long)]
        id: Option<String>,
    },
}

#[derive(Debug, Serialize)]
struct Row {
    budget: String,
    prepaid: u64,
    unallotted: u64,
    allotted: u64,
    billed: u64,
    wasted: u64,
    unknown: u64,
    bills: u64,
}

#[derive(Debug, Serialize)]
struct Added {
    budget: String,
    prepaid: u64,
    id: String,
}

impl Budget {
    /// Runs the command.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        match self {
            Self::Show { name } => show(context, name.as_deref()).await,
            Self::TopUp { name, amount, id } => top_up(context, name, *amount, id.as_deref()).await,
        }
    }
}

async fn show(context: &Context, name: Option<&str>) -> Result<(), CliError> {
    let client = context.reader()?;
    let found = client
        .budgets(name.unwrap_or_default(), context.within())
        .await?;
    if let (Some(name), true) = (name, found.is_empty()) {
        return Err(CliError::NoBudget(Name::new(name)));
    }
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

async fn top_up(
    context: &Context,
    name: &str,
    amount: u64,
    id: Option<&str>,
) -> Result<(), CliError> {
    let id = submission(id)?;
    let command = Command::TopUp(TopUp {
        id: id.clone(),
        budget: Name::new(name),
        amount: Tokens(amount),
    });
    let Reply::ToppedUp(prepaid) = context.submit(&id, command).await? else {
        return Err(CliError::Unexpected);
    };
    let added = Added {
        budget: name.to_owned(),
        prepaid: prepaid.0,
        id: id.to_string(),
    };
    context.show(&added, |added| {
        format!("{}: {} tokens prepaid", added.budget, added.prepaid)
    })
}

impl Row {
    fn head() -> [String; 8] {
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
