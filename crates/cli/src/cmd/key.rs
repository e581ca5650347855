//! `key`: generates a bearer key for a workspace.

use clap::Args;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::CliError;
use crate::text;

use super::Context;

/// Generates a key for a workspace and prints it with its hash
///
/// The hash belongs in `keys` of the workspace's table. Hand the key to the callers: it is not
/// stored.
#[derive(Args, Debug)]
#[command(after_help = "Examples:
  chestnutnotch key
  chestnutnotch key --hash cn_2f6a...")]
pub struct Key {
    /// Print the hash of this key instead of generating a new key
    #[arg(long, value_name = "KEY")]
    hash: Option<String>,
}

/// A key and its hash, as printed.
#[derive(Debug, Serialize)]
struct KeyOutput {
    key: String,
    /// SHA-256 of the key in lower-case hexadecimal.
    hash: String,
}

impl Key {
    /// Prints a new key, or the given one, with its hash.
    pub fn run(&self, context: &Context) -> Result<(), CliError> {
        let key = match &self.hash {
            Some(key) => key.clone(),
            None => format!("cn_{}{}", text::random_hex()?, text::random_hex()?),
        };
        let output = KeyOutput {
            hash: text::hex(Sha256::digest(&key)),
            key,
        };
        context.print(&output, |output| {
            format!("key   {}\nkeys = [\"{}\"]", output.key, output.hash)
        })
    }
}
