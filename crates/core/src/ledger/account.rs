//! The ledger of all budgets, as the control replicas keep it.

use serde::Deserialize;
use serde::Serialize;

/// All budgets and their holders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {}
