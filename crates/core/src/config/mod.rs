//! The accepted configuration: what operators declare, and the checks it has to pass.
//!
//! A [`Document`] is the whole configuration; it changes only as a whole, from one revision to the
//! next. Publishing collects short TOML files, whose tables are the types of [`document`].

pub mod document;
mod error;

pub use document::Accepted;
pub use document::BudgetSpec;
pub use document::Document;
pub use document::ModelSpec;
pub use document::ServiceSpec;
pub use document::WorkspaceSpec;
pub use error::ConfigError;
pub use error::Kind;
