//! Pass-through routes: which service a request goes to, and what may be done with it.
//!
//! A [`Plan`] is one whole set of routes with a version chosen by its publisher; the highest version
//! is in force. [`Plan::check`] refuses contradictions, [`Index`] answers lookups.

mod check;
mod held;
mod index;
mod plan;

pub use check::PlanError;
pub use held::Adopt;
pub use held::Held;
pub use held::Prepaid;
pub use index::Index;
pub use plan::Limits;
pub use plan::Plan;
pub use plan::Repeat;
pub use plan::Route;
pub use plan::ServiceSpec;
pub use plan::Share;
pub use plan::WorkspaceSpec;
