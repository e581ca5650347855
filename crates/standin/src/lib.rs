//! Stand-in upstreams with switchable faults: a model engine and a plain service.
//!
//! They serve the interfaces that real upstreams have, in little: enough to try the fleet without an
//! accelerator and to bring about failures in tests. What they send is a function of what they were
//! asked, so that a test can check a whole answer; what they did is counted in [`Stats`].

mod announce;
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
pub use server::End;
pub use server::Standin;
pub use settings::Settings;
pub use stats::RunStats;
pub use stats::Stats;
