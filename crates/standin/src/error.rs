//! Errors of a stand-in.

use thiserror::Error;

/// Error at the start of a stand-in.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address could not be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings name neither models nor a service, or they name both.
    #[error("settings of {0} have to name either models or a service")]
    InvalidRole(chestnutnotch_core::id::Upstream),
}

/// Error that makes the server close the connection within an answer, because of a fault or a
/// cancel.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection cut on purpose")]
pub(crate) struct Cut;
