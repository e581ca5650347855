//! The configuration that operators publish, its validation and its history.
//!
//! A [`Document`] is the complete configuration of workspaces, budgets, models and services. Each
//! accepted document replaces the one before and has its own revision. Operators write it as TOML
//! files, whose tables are the types of [`document`]. The control replicas keep accepted documents
//! in a [`ConfigStore`], and a router follows them with a [`ConfigFollower`].

mod check;
mod digest;
pub mod document;
mod error;
mod follower;
mod store;

pub(crate) use digest::Digester;
pub use document::Accepted;
pub use document::BudgetSpec;
pub use document::Document;
pub use document::ModelSpec;
pub use document::ServiceSpec;
pub use document::WorkspaceSpec;
pub use error::ConfigError;
pub use error::Kind;
pub use follower::ConfigFollower;
pub use follower::Source;
pub use store::ConfigStore;
pub use store::MAX_DOCUMENTS;
pub use store::MAX_HISTORY;
