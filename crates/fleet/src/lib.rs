//! chestnutnotch: a router fleet for prepaid token budgets.
//!
//! The daemons only parse arguments and call this crate.
//!
//! - [`settings`]: one TOML file for each process.
//! - [`shares`]: how the memory and the descriptors of a process are divided.
//! - [`timer`]: the source of time and of ticks for all parts of a process.
//! - [`runtime`]: a runtime on a thread of its own.
//! - [`edges`]: input and output of a process: HTTP, RPC, gossip, disk.
//! - [`router`], [`control`]: whole router and control processes.
//! - [`gateway`]: whole processes for pass-through routes. [`dialect`]: the format of their routes.
//! - [`metrics`]: Prometheus metrics. [`logging`]: structured logs.
//! - [`mod@file`], [`publish`]: reading TOML files and collecting a configuration from them.
//! - [`json`]: bounds on what a JSON text takes once it is decoded.
//! - [`keys`]: lookup of bearer keys by their hash.
//! - [`filters`]: the chain of steps that serves a caller's request.
//! - [`controllers`]: actors that run the state machines of `chestnutnotch-core`.

pub mod control;
pub mod controllers;
pub mod dialect;
pub mod edges;
pub mod file;
pub mod filters;
pub mod gateway;
pub mod json;
pub mod keys;
pub mod logging;
pub mod metrics;
pub mod publish;
pub mod router;
pub mod runtime;
pub mod settings;
pub mod shares;
pub mod timer;
