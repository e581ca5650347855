//! Actors that drive the pure decisions of `chestnutnotch-core`.

pub mod abandoned;
pub mod allotment;
pub mod bills;
pub mod config;
pub mod gate;
pub mod join;
pub mod lifecycle;
pub mod nodes;
pub mod plan;
pub mod replica;
pub mod spool;
pub mod spread;
pub mod ticks;
pub mod upstreams;
