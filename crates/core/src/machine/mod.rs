//! The replicated state machine: applies agreed commands in order.

use serde::Deserialize;
use serde::Serialize;

use crate::command::Reply;
use crate::command::Stamped;
use crate::config::Accepted;
use crate::ledger::Ledger;

/// All state that the control replicas agree on.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Machine {
    ledger: Ledger,
    accepted: Accepted,
}

impl Machine {
    /// Applies one agreed command. The same log gives the same state and replies everywhere.
    pub fn apply(&mut self, _stamped: &Stamped) -> Reply {
        Reply::Done
    }

    /// The configuration in force.
    pub fn accepted(&self) -> &Accepted {
        &self.accepted
    }

    /// The budgets.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}
