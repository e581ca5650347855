//! chestnutnotch: a router fleet for prepaid token budgets.
//!
//! The daemons are thin; what they do is here.
//!
//! - [`settings`]: one TOML file for each process.
//! - [`timer`]: the one source of time that parts subscribe to.
//! - [`edges`]: what touches the world outside a process: HTTP, RPC, disk.
//! - [`router`]: a whole router process.
//! - [`metrics`]: counters of every decision.
//! - [`file`], [`publish`]: TOML files, and the configuration that is collected from them.
//! - [`filters`]: the chain that each caller's request passes through.
//! - [`controllers`]: actors that drive the pure decisions of `chestnutnotch-core`.

pub mod control;
pub mod controllers;
pub mod dialect;
pub mod edges;
pub mod file;
pub mod filters;
pub mod gateway;
pub mod keys;
pub mod logging;
pub mod metrics;
pub mod publish;
pub mod router;
pub mod settings;
pub mod timer;
