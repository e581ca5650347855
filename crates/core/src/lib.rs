//! Pure decisions of chestnutnotch.
//!
//! Every module here is a state machine: it is given the time, a message or a command, and answers
//! with a new state and a list of effects. It holds no clock, socket, file, task or global source of
//! randomness, so that the same code is model checked, fuzzed and run by the daemons.
//!
//! - [`replica`]: agreement on one log of commands.
//! - [`machine`]: what the log drives: budgets, bills, claims, configuration, the audit trail.
//! - [`ledger`], [`claim`], [`config`]: the parts of the machine and their clients' halves.
//! - [`upstream`], [`limit`]: what a router decides by itself.
//! - [`route`]: pass-through routes.
//! - [`roster`]: the nodes of the system, and how news spreads between them.
//! - [`order`]: who may give orders to upstreams.

pub mod claim;
pub mod command;
pub mod config;
pub mod id;
pub mod ledger;
pub mod limit;
pub mod machine;
pub mod map;
pub mod order;
pub mod replica;
pub mod roster;
pub mod route;
pub mod unit;
pub mod upstream;
