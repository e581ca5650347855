//! `evacuate`: keeps new work from the upstreams of a data centre, or lets it back.

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::evacuation::Evacuate as Order;
use clap::Args;
use serde::Serialize;

use crate::CliError;

use super::Context;
use super::context::submission_id;

/// Orders that no new work goes to the upstreams of a data centre
///
/// What runs there goes on. The same order given twice changes nothing. Only routers of
/// pass-through routes keep to it.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch evacuate marmara-1
  chestnutnotch evacuate marmara-1 --withdraw")]
pub struct Evacuate {
    /// Name of the data centre
    centre: String,
    /// Withdraw the order
    #[arg(long)]
    withdraw: bool,
    /// Accept a data centre from which no router has joined
    #[arg(long)]
    unseen: bool,
}

/// Result of `evacuate`, as printed.
#[derive(Debug, Serialize)]
struct Output {
    /// Number of changes so far.
    version: u64,
    /// Data centres that are evacuated now.
    evacuated: Vec<String>,
}

impl Evacuate {
    /// Submits the order or its withdrawal.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let command = Command::Evacuate(Order {
            centre: self.centre.as_str().into(),
            active: !self.withdraw,
            listed: self.unseen,
        });
        let reply = context.submit(&submission_id(None)?, command).await?;
        let Reply::Evacuations(evacuations) = reply else {
            return Err(CliError::UnexpectedReply);
        };
        let names = evacuations.centres.iter().map(ToString::to_string);
        let output = Output {
            version: evacuations.version,
            evacuated: names.collect(),
        };
        context.print(&output, |output| match output.evacuated.is_empty() {
            true => "no data centre is evacuated".to_owned(),
            false => format!("evacuated: {}", output.evacuated.join(", ")),
        })
    }
}
