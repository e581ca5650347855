//! Decision logic of chestnutnotch without input or output.
//!
//! The modules are state machines: each is given the time, a message or a command, changes its
//! state and returns the effects to carry out. They use no clock, socket, file, task or global
//! source of randomness, so that model checkers, fuzzers and the daemons run the same code.
//!
//! - [`replica`]: consensus on a replicated log of commands.
//! - [`command`]: the commands of the log and their replies.
//! - [`machine`]: the replicated state that applies the log: budgets, bills, claims, configuration
//!   and the audit trail.
//! - [`ledger`], [`claim`], [`config`]: parts of the replicated state, and the logic of their
//!   clients.
//! - [`upstream`], [`limit`]: a router's local decisions: choice of upstreams, admission control
//!   and retries.
//! - [`route`]: pass-through routes.
//! - [`evacuation`]: data centres whose upstreams get no new work.
//! - [`room`]: what the network link of a router can take.
//! - [`roster`]: gossip membership.
//! - [`order`]: leases that decide who may give orders to upstreams.
//! - [`id`], [`mod@unit`], [`map`]: identifiers, quantities and collections.

pub mod claim;
pub mod command;
pub mod config;
pub mod evacuation;
pub mod id;
pub mod ledger;
pub mod limit;
pub mod machine;
pub mod map;
pub mod order;
pub mod replica;
pub mod room;
pub mod roster;
pub mod route;
pub mod unit;
pub mod upstream;
