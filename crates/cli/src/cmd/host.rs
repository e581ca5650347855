//! `host`: what an operator knows of a host that the fleet can't find out by itself.

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Retire;
use chestnutnotch_core::id::Host as Name;
use chestnutnotch_core::unit::Incarnation;
use clap::Subcommand;
use serde::Serialize;

use crate::CliError;

use super::Context;
use super::context::submission;

/// Says what became of a host
#[derive(Debug, Subcommand)]
pub enum Host {
    /// Declares that a host is gone for good, which frees the allotments of its router
    ///
    /// Use it only when the process is certain to have ended: the fleet takes your word for it.
    #[command(after_help = "Example:\n  chestnutnotch host retire entry-3")]
    Retire {
        /// The host
        name: String,
        /// Leave a router incarnation later than this alone
        #[arg(long)]
        last: Option<u64>,
    },
}

#[derive(Debug, Serialize)]
struct Retired {
    host: String,
    incarnation: Option<u64>,
}

impl Host {
    /// Runs the command.
    pub async fn run(&self, context: &Context) -> Result<(), CliError> {
        let Self::Retire { name, last } = self;
        let command = Command::Retire(Retire {
            host: Name::new(name.as_str()),
            last: last.map(Incarnation),
        });
        let Reply::Retired(closed) = context.submit(&submission(None)?, command).await? else {
            return Err(CliError::Unexpected);
        };
        let retired = Retired {
            host: name.clone(),
            incarnation: closed.map(|closed| closed.0),
        };
        context.show(&retired, |retired| match retired.incarnation {
            Some(closed) => format!("{}: router incarnation {closed} is closed", retired.host),
            None => format!("{}: no router incarnation was open", retired.host),
        })
    }
}
