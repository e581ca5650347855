//! Conversions between the generated types and the types of the core crate.
//!
//! Conversions to the generated types can't fail. Those from them check every field.

mod announce;
mod command;
mod config;
mod id;
mod reply;

pub use id::fingerprint;

use crate::WireError;

/// Converts each item from the wire, stopping at the first invalid one.
fn try_convert<A, B: TryFrom<A, Error = WireError>>(items: Vec<A>) -> Result<Vec<B>, WireError> {
    items.into_iter().map(B::try_from).collect()
}

/// Converts each item, for types whose conversion can't fail.
fn convert<A, B: From<A>>(items: impl IntoIterator<Item = A>) -> Vec<B> {
    items.into_iter().map(B::from).collect()
}

/// Formats each item as a string.
fn to_strings<A: ToString>(items: impl IntoIterator<Item = A>) -> Vec<String> {
    items.into_iter().map(|item| item.to_string()).collect()
}

/// Converts a required field of a message.
fn required<A, B: TryFrom<A, Error = WireError>>(
    value: Option<A>,
    message: &'static str,
    field: &'static str,
) -> Result<B, WireError> {
    B::try_from(value.ok_or(WireError::Missing { message, field })?)
}

/// Converts a number to the narrower type of the field.
fn narrow<A, B: TryFrom<A>>(
    value: A,
    message: &'static str,
    field: &'static str,
) -> Result<B, WireError> {
    B::try_from(value).map_err(|_| WireError::Invalid { message, field })
}
