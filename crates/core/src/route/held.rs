//! The plan that the control replicas hold.
//!
//! They keep the document as it was published and know its version and budgets only; the routers
//! decode the rest.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Budget;
use crate::unit::Tokens;

/// A plan to put in force unless a higher version is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Adopt {
    /// Its version.
    pub version: u64,
    /// The document as it was published.
    pub source: Arc<[u8]>,
    /// Totals of the budgets that it names.
    pub prepaid: Vec<Prepaid>,
}

/// Total of one budget.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prepaid {
    /// Which budget.
    pub budget: Budget,
    /// All that may be spent of it, from the first deposit on.
    pub total: Tokens,
}

/// The plan in force, as published; version zero before the first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Held {
    /// Its version.
    pub version: u64,
    /// The document as it was published.
    pub source: Arc<[u8]>,
}

impl Held {
    /// Takes a plan over if its version is higher. Returns whether it was.
    pub(crate) fn adopt(&mut self, adopt: &Adopt) -> bool {
        let is_newer = adopt.version > self.version;
        if is_newer {
            self.version = adopt.version;
            self.source = adopt.source.clone();
        }
        is_newer
    }
}
