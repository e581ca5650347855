//! The daemons and the operator's command line of chestnutnotch. The binaries only call this crate:
//! [`cmd`] holds the command line, and [`daemon`] the code that the daemons share.

pub mod cmd;
pub mod daemon;
mod error;
mod text;

pub use error::CliError;
