//! The plan as the control replicas store it.
//!
//! They keep the published document as bytes and know only its version and budgets. Routers decode
//! the document.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Budget;
use crate::unit::Tokens;

/// Command that puts a plan in force unless one of the same or a higher version is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Adopt {
    /// Version of the plan.
    pub version: u64,
    /// The document as it was published.
    pub source: Arc<[u8]>,
    /// Totals of the budgets that the plan names.
    pub prepaid: Vec<Prepaid>,
}

/// Total of one prepaid budget in a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prepaid {
    /// Name of the budget.
    pub budget: Budget,
    /// Tokens that may be spent in total, those already spent included.
    pub total: Tokens,
}

/// The plan in force as it was published.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PublishedPlan {
    /// Version of the plan; zero before the first one.
    pub version: u64,
    /// The document as it was published.
    pub source: Arc<[u8]>,
}

impl PublishedPlan {
    /// Replaces the plan if the version of `adopt` is higher. Returns whether it was.
    pub(crate) fn adopt(&mut self, adopt: &Adopt) -> bool {
        let is_newer = adopt.version > self.version;
        if is_newer {
            self.version = adopt.version;
            self.source = adopt.source.clone();
        }
        is_newer
    }
}
