//! Pass-through routes: which service a request goes to, and how it may be retried.
//!
//! A [`Plan`] is a complete set of routes with a version that its publisher chooses; the highest
//! version is in force. [`Plan::check`] validates a plan and [`RouteIndex`] answers lookups in it.
//! The control replicas store it as a [`PublishedPlan`], which they do not decode.

mod check;
mod fetch_timeout;
mod index;
mod plan;
mod published;

pub use check::PlanError;
pub use fetch_timeout::FetchTimeout;
pub use index::RouteIndex;
pub use plan::Limits;
pub use plan::Plan;
pub use plan::RequestKind;
pub use plan::Route;
pub use plan::ServiceSpec;
pub use plan::WeightedService;
pub use plan::WorkspaceSpec;
pub use published::Adopt;
pub use published::Prepaid;
pub use published::PublishedPlan;
