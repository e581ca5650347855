//! Stand-in upstreams with switchable faults: a model engine and a plain service.
//!
//! They serve the parts of the interfaces of real upstreams that are needed to run the fleet
//! without an accelerator and to cause failures in tests. An engine's answer is a function of the
//! prompt, so that a test can check all of it. [`Stats`] counts what a stand-in did.

mod announce;
mod earlier;
mod engine;
mod error;
mod faults;
mod http;
mod server;
mod service;
mod settings;
mod stats;
pub mod text;

pub use error::StandinError;
pub use faults::Faults;
pub use server::ExitReason;
pub use server::Standin;
pub use settings::Settings;
pub use stats::RunStats;
pub use stats::Stats;
