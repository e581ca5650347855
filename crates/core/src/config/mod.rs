//! The accepted configuration: what operators declare, and the checks it has to pass.
//!
//! A [`Document`] is the whole configuration; it changes only as a whole, from one revision to the
//! next. Publishing collects short TOML files, whose tables are the types of [`document`].

mod check;
mod digest;
pub mod document;
mod error;
mod follower;
mod register;

pub(crate) use digest::Digester;
pub use document::Accepted;
pub use document::BudgetSpec;
pub use document::Document;
pub use document::ModelSpec;
pub use document::ServiceSpec;
pub use document::WorkspaceSpec;
pub use error::ConfigError;
pub use error::Kind;
pub use follower::Follower;
pub use follower::Source;
pub use register::MAX_DOCUMENTS;
pub use register::MAX_PAST;
pub use register::Register;
