//! Actors that drive the pure decisions of `chestnutnotch-core`.

pub mod replica;
pub mod spool;
