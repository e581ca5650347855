//! Tests with fleets of real processes on loopback and the failures that a fleet has to tolerate.
#![allow(clippy::panic, clippy::unwrap_used)]

#[macro_use]
mod harness;

mod budgets;
mod control;
mod operators;
mod routers;
mod serve;
mod upstreams;
