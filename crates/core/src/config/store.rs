//! Accepted configurations: the one in force and its predecessors.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Publish;
use crate::command::Refusal;
use crate::config::Accepted;
use crate::config::ConfigError;
use crate::config::Document;
use crate::config::document::HistoryEntry;
use crate::id::Budget;
use crate::id::Operator;
use crate::ledger::Ledger;
use crate::machine::Fault;
use crate::map::Map;
use crate::map::Set;
use crate::unit::Millis;
use crate::unit::Revision;
use crate::unit::Tokens;

/// Most configurations whose documents are kept.
pub const MAX_DOCUMENTS: usize = 100;

/// Most entries of the history.
pub const MAX_HISTORY: usize = 10_000;

/// The configuration in force, recent documents and the history of revisions; part of the
/// replicated state. Documents and history include the one in force, which is last.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigStore {
    accepted: Accepted,
    documents: VecDeque<Accepted>,
    past: VecDeque<HistoryEntry>,
    #[serde(skip)]
    fault: Option<Fault>,
}

impl ConfigStore {
    /// Sets a deliberate fault, for tests that check that the fault is found.
    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// Returns the configuration in force.
    pub fn accepted(&self) -> &Accepted {
        &self.accepted
    }

    /// Returns the history, oldest first; at most the last [`MAX_HISTORY`] entries.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.past.iter()
    }

    /// Returns the document of a revision, if it is among the last [`MAX_DOCUMENTS`].
    pub fn document(&self, revision: Revision) -> Option<&Arc<Document>> {
        let kept = self.documents.iter();
        kept.rev()
            .find(|accepted| accepted.revision == revision)
            .map(|accepted| &accepted.document)
    }

    /// Puts a configuration in force and creates and removes budgets in the ledger accordingly.
    ///
    /// # Errors
    ///
    /// [`Refusal::Conflict`] if another revision than the base is in force, [`Refusal::Invalid`] if
    /// the configuration or its change of budgets is not valid.
    pub(crate) fn publish(
        &mut self,
        at: Millis,
        operator: &Operator,
        publish: &Publish,
        ledger: &mut Ledger,
    ) -> Result<Revision, Refusal> {
        let is_current = publish.base == self.accepted.revision;
        if !is_current && self.fault != Some(Fault::AnyBase) {
            return Err(self.conflict());
        }
        publish.document.check().map_err(Refusal::Invalid)?;
        self.check_budgets(&publish.document, ledger)?;
        self.update_budgets(&publish.document, ledger);
        Ok(self.accept(at, operator, &publish.document))
    }

    /// Names the revision in force and its operator, so that the loser can retry on that base.
    fn conflict(&self) -> Refusal {
        let last = self.past.back();
        Refusal::Conflict {
            current: self.accepted.revision,
            operator: last.map_or_else(|| "".into(), |entry| entry.operator.clone()),
        }
    }

    /// Puts a document in force as the next revision, and drops the oldest entries over the limits.
    fn accept(&mut self, at: Millis, operator: &Operator, document: &Arc<Document>) -> Revision {
        let revision = self.accepted.revision.next();
        self.accepted = Accepted {
            revision,
            document: document.clone(),
        };
        self.documents.push_back(self.accepted.clone());
        self.past.push_back(HistoryEntry {
            revision,
            at,
            operator: operator.clone(),
        });
        if self.documents.len() > MAX_DOCUMENTS {
            self.documents.pop_front();
        }
        if self.past.len() > MAX_HISTORY {
            self.past.pop_front();
        }
        revision
    }

    /// Refuses the edit of a first deposit and the removal of a budget with tokens or bills.
    fn check_budgets(&self, next: &Document, ledger: &Ledger) -> Result<(), Refusal> {
        let specs = next.budgets.iter();
        let deposits: Map<&Budget, Tokens> = specs.map(|spec| (&spec.name, spec.prepaid)).collect();
        for spec in &self.accepted.document.budgets {
            let error = match deposits.get(&spec.name) {
                Some(prepaid) if *prepaid == spec.prepaid => continue,
                Some(_) => ConfigError::PrepaidEdited(spec.name.clone()),
                None if ledger.is_unused(&spec.name) => continue,
                None => ConfigError::BudgetRemoved(spec.name.clone()),
            };
            return Err(Refusal::Invalid(error));
        }
        Ok(())
    }

    /// Removes dropped budgets from the ledger and creates new ones.
    fn update_budgets(&self, next: &Document, ledger: &mut Ledger) {
        let kept: Set<&Budget> = next.budgets.iter().map(|spec| &spec.name).collect();
        for spec in &self.accepted.document.budgets {
            if !kept.contains(&spec.name) {
                ledger.remove(&spec.name);
            }
        }
        for spec in &next.budgets {
            ledger.create(&spec.name, spec.prepaid);
        }
    }
}
