//! `host`: declares facts about a host that the fleet can't detect by itself.

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Retire;
use chestnutnotch_core::id::Host as Name;
use chestnutnotch_core::unit::Incarnation;
use clap::Subcommand;
use serde::Serialize;

use crate::CliError;

use super::Context;
use super::context::submission_id;

/// Declares what happened to a host
#[derive(Debug, Subcommand)]
pub enum Host {
    /// Declares that a host is permanently gone, which frees the allotments of its router
    ///
    /// Use it only if the router process has certainly ended: the fleet does not check it.
    #[command(after_help = "Example:\n  chestnutnotch host retire entry-3")]
    Retire {
        /// Name of the host
        name: String,
        /// Latest router incarnation to close; a later one stays open
        #[arg(long)]
        last: Option<u64>,
    },
}

/// Result of `host retire`, as printed.
#[derive(Debug, Serialize)]
struct RetireOutput {
    host: String,
    /// Router incarnation that was closed, if one was open.
    incarnation: Option<u64>,
}

impl Host {
    /// Runs the chosen subcommand.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let Self::Retire { name, last } = self;
        let command = Command::Retire(Retire {
            host: Name::new(name.as_str()),
            last: last.map(Incarnation),
        });
        let Reply::Retired(closed) = context.submit(&submission_id(None)?, command).await? else {
            return Err(CliError::UnexpectedReply);
        };
        let output = RetireOutput {
            host: name.clone(),
            incarnation: closed.map(|closed| closed.0),
        };
        context.print(&output, |output| match output.incarnation {
            Some(closed) => format!("{}: router incarnation {closed} is closed", output.host),
            None => format!("{}: no router incarnation was open", output.host),
        })
    }
}
