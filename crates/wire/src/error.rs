//! Error of the conversions.

use thiserror::Error;

/// Why a message from another process is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WireError {
    /// A required field is missing.
    #[error("{message} has no {field}")]
    Missing {
        /// Name of the message.
        message: &'static str,
        /// Name of the field.
        field: &'static str,
    },
    /// A field's value is malformed or out of its range.
    #[error("{message} has a bad {field}")]
    Invalid {
        /// Name of the message.
        message: &'static str,
        /// Name of the field.
        field: &'static str,
    },
}
