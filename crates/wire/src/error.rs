//! Errors of the conversions.

use thiserror::Error;

/// What is wrong with a message from another process.
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
    /// A field's value is out of its range.
    #[error("{message} has a bad {field}")]
    Bad {
        /// Name of the message.
        message: &'static str,
        /// Name of the field.
        field: &'static str,
    },
}
