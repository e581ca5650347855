//! Register of non-idempotent calls: each is sent at most once.
//!
//! A router writes a claim before the first byte of a call leaves, and sends it only if this claim
//! is granted. A granted claim is released by one thing alone: its router's word that no byte left.

mod entry;
mod register;

pub use register::CLAIM_HORIZON_MILLIS;
pub use register::Claims;
pub use register::MAX_ANSWER_BYTES;
pub use register::MAX_CLAIMS;
