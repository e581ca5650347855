//! Actors and shared handles that run the state machines of `chestnutnotch-core` with real time,
//! network and disk.

pub mod abandoned;
pub mod admission;
pub mod allotment;
pub mod bills;
pub mod config;
pub mod join;
pub mod lifecycle;
pub mod nodes;
pub mod plan;
pub mod replica;
pub mod replica_status;
pub mod room;
pub mod run_delay;
pub mod spool;
pub mod spread;
pub mod ticks;
pub mod upstreams;
