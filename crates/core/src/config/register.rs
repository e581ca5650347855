//! Accepted configurations, the one in force last.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Publish;
use crate::command::Refusal;
use crate::config::Accepted;
use crate::config::ConfigError;
use crate::config::Document;
use crate::config::document::Past;
use crate::id::Budget;
use crate::id::Operator;
use crate::ledger::Ledger;
use crate::machine::Fault;
use crate::map::Map;
use crate::map::Set;
use crate::unit::Millis;
use crate::unit::Revision;
use crate::unit::Tokens;

/// Most configurations kept whole.
pub const MAX_DOCUMENTS: usize = 100;

/// Most configurations that the history lists.
pub const MAX_PAST: usize = 10_000;

/// The register.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Register {
    accepted: Accepted,
    documents: VecDeque<Accepted>,
    past: VecDeque<Past>,
    #[serde(skip)]
    fault: Option<Fault>,
}

impl Register {
    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    /// The configuration in force.
    pub fn accepted(&self) -> &Accepted {
        &self.accepted
    }

    /// Accepted configurations, oldest first, as far as kept.
    pub fn past(&self) -> impl DoubleEndedIterator<Item = &Past> {
        self.past.iter()
    }

    /// A configuration by its revision, as far as kept.
    pub fn document(&self, revision: Revision) -> Option<&Arc<Document>> {
        let kept = self.documents.iter();
        kept.rev()
            .find(|accepted| accepted.revision == revision)
            .map(|accepted| &accepted.document)
    }

    /// Puts a configuration in force if its base is the one in force and the ledger allows it.
    ///
    /// # Errors
    ///
    /// [`Refusal::Conflict`], [`Refusal::Invalid`].
    pub(crate) fn publish(
        &mut self,
        at: Millis,
        operator: &Operator,
        publish: &Publish,
        ledger: &mut Ledger,
    ) -> Result<Revision, Refusal> {
        let is_base = publish.base == self.accepted.revision;
        if !is_base && self.fault != Some(Fault::AnyBase) {
            return Err(self.conflict());
        }
        publish.document.check().map_err(Refusal::Invalid)?;
        self.check_budgets(&publish.document, ledger)?;
        self.settle_budgets(&publish.document, ledger);
        Ok(self.accept(at, operator, &publish.document))
    }

    fn conflict(&self) -> Refusal {
        let last = self.past.back();
        Refusal::Conflict {
            current: self.accepted.revision,
            operator: last.map_or_else(|| "".into(), |past| past.operator.clone()),
        }
    }

    fn accept(&mut self, at: Millis, operator: &Operator, document: &Arc<Document>) -> Revision {
        let revision = self.accepted.revision.next();
        self.accepted = Accepted {
            revision,
            document: document.clone(),
        };
        self.documents.push_back(self.accepted.clone());
        self.past.push_back(Past {
            revision,
            at,
            operator: operator.clone(),
        });
        if self.documents.len() > MAX_DOCUMENTS {
            self.documents.pop_front();
        }
        if self.past.len() > MAX_PAST {
            self.past.pop_front();
        }
        revision
    }

    /// Refuses edits of a first deposit and the removal of a budget with money or history.
    fn check_budgets(&self, next: &Document, ledger: &Ledger) -> Result<(), Refusal> {
        let specs = next.budgets.iter();
        let wanted: Map<&Budget, Tokens> = specs.map(|spec| (&spec.name, spec.prepaid)).collect();
        for spec in &self.accepted.document.budgets {
            let error = match wanted.get(&spec.name) {
                Some(prepaid) if *prepaid == spec.prepaid => continue,
                Some(_) => ConfigError::PrepaidEdited(spec.name.clone()),
                None if ledger.is_unused(&spec.name) => continue,
                None => ConfigError::BudgetRemoved(spec.name.clone()),
            };
            return Err(Refusal::Invalid(error));
        }
        Ok(())
    }

    fn settle_budgets(&self, next: &Document, ledger: &mut Ledger) {
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
