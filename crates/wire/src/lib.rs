//! Messages between the processes of chestnutnotch.
//!
//! [`proto`] is generated from `proto/chestnutnotch.proto` and committed. The conversions between it
//! and the types of the core return a [`WireError`] for anything that a peer may not send.

mod convert;
mod error;
#[allow(missing_docs, clippy::all, clippy::unwrap_used, clippy::panic)]
#[rustfmt::skip]
pub mod proto;

pub use convert::fingerprint;
pub use error::WireError;
