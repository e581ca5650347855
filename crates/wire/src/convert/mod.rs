//! Conversions between the generated types and the types of the core.
//!
//! Towards the wire they can't fail; from it they check every field.

mod announce;
mod command;
mod config;
mod id;
mod reply;

pub use id::fingerprint;

use crate::WireError;

/// Converts each item, stopping at the first bad one.
fn all<A, B: TryFrom<A, Error = WireError>>(items: Vec<A>) -> Result<Vec<B>, WireError> {
    items.into_iter().map(B::try_from).collect()
}

/// Converts each item towards the wire.
fn each<A, B: From<A>>(items: impl IntoIterator<Item = A>) -> Vec<B> {
    items.into_iter().map(B::from).collect()
}

/// Names as plain strings.
fn texts<A: ToString>(items: impl IntoIterator<Item = A>) -> Vec<String> {
    items.into_iter().map(|item| item.to_string()).collect()
}

/// A message field that has to be there, converted.
fn need<A, B: TryFrom<A, Error = WireError>>(
    value: Option<A>,
    message: &'static str,
    field: &'static str,
) -> Result<B, WireError> {
    B::try_from(value.ok_or(WireError::Missing { message, field })?)
}

/// A number narrowed to the field's own type.
fn narrow<A, B: TryFrom<A>>(
    value: A,
    message: &'static str,
    field: &'static str,
) -> Result<B, WireError> {
    B::try_from(value).map_err(|_| WireError::Bad { message, field })
}
