//! `key`: makes a bearer key for a workspace.

use clap::Args;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::CliError;
use crate::text;

use super::Context;

/// Makes a key for a workspace and prints it with its hash
///
/// The hash goes into `keys` of the workspace's table; the key goes to the callers and is kept
/// nowhere else.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch key
  chestnutnotch key --hash cn_2f6a...")]
pub struct Key {
    /// Print the hash of this key instead of making a new one
    #[arg(long, value_name = "KEY")]
    hash: Option<String>,
}

#[derive(Debug, Serialize)]
struct Made {
    key: String,
    hash: String,
}

impl Key {
    /// Runs the command.
    pub fn run(&self, context: &Context) -> Result<(), CliError> {
        let key = match &self.hash {
            Some(key) => key.clone(),
            None => format!("cn_{}{}", text::random()?, text::random()?),
        };
        let made = Made {
            hash: text::hex(Sha256::digest(&key)),
            key,
        };
        context.show(&made, |made| {
            format!("key   {}\nkeys = [\"{}\"]", made.key, made.hash)
        })
    }
}
