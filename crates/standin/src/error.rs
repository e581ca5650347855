//! Errors of a stand-in.

use thiserror::Error;

/// Why a stand-in could not start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address could not be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The system's answer.
        source: std::io::Error,
    },
    /// The settings name neither models nor a service, or both.
    #[error("settings of {0} have to name either models or a service")]
    Offer(chestnutnotch_core::id::Upstream),
}

/// The connection is cut here, on purpose.
#[derive(Clone, Copy, Debug, Error)]
#[error("cut")]
pub(crate) struct Cut;
