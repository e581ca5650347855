//! The daemons and the operator's program of chestnutnotch. The binaries are thin; see [`cmd`] for
//! the program and [`daemon`] for what the daemons share.

pub mod cmd;
pub mod daemon;
mod error;
mod text;

pub use error::CliError;
