//! Claims of non-idempotent calls, so that each call is sent to its service at most once.
//!
//! A router submits a claim before it sends the first byte of a call, and sends the call only if
//! the claim is granted. A granted claim is released only when its router reports that no byte was
//! sent.

mod entry;
mod register;

pub use register::CLAIM_RETENTION_MILLIS;
pub use register::Claims;
pub use register::MAX_ANSWER_BYTES;
pub use register::MAX_CLAIMS;
