//! Messages between the processes of chestnutnotch, and their conversions.
//!
//! [`proto`] is generated from `proto/chestnutnotch.proto` and committed. Conversions from its
//! types to the types of the core crate return a [`WireError`] for every value that a peer may not
//! send.

mod convert;
mod error;
#[allow(missing_docs, clippy::all, clippy::unwrap_used, clippy::panic)]
#[rustfmt::skip]
pub mod proto;

pub use convert::fingerprint;
pub use error::WireError;
