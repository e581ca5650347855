//! The audit trail: who changed what, when, from what to what.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Refusal;
use crate::id::Operator;
use crate::unit::Millis;

/// Most rows kept; beyond it the oldest is dropped.
pub const MAX_AUDIT_ROWS: usize = 20_000;

/// One change, accepted or refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRow {
    /// Number of the row; the first is 1.
    pub index: u64,
    /// Unix time at the leader.
    pub at: Millis,
    /// Who asked for it.
    pub operator: Operator,
    /// What was done.
    pub action: Action,
    /// What it was done to.
    pub subject: Arc<str>,
    /// State before, empty if none.
    pub before: Arc<str>,
    /// State after, empty if none.
    pub after: Arc<str>,
    /// Why it was refused, if it was.
    pub refused: Option<Refusal>,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Action {
    /// A router joined.
    Join,
    /// A holder left.
    Leave,
    /// A holder was replaced by a new incarnation.
    Replace,
    /// A host was retired.
    Retire,
    /// A replica sealed a closed holder.
    Seal,
    /// Evidence on a closed holder.
    Resolve,
    /// A configuration.
    Publish,
    /// A deposit.
    TopUp,
    /// A router became the one to give orders.
    Lead,
    /// A set of pass-through routes.
    Adopt,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Join => "join",
            Self::Leave => "leave",
            Self::Replace => "replace",
            Self::Retire => "retire",
            Self::Seal => "seal",
            Self::Resolve => "resolve",
            Self::Publish => "publish",
            Self::TopUp => "top-up",
            Self::Lead => "lead",
            Self::Adopt => "adopt",
        })
    }
}

/// Which rows to show. The default shows the newest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditFilter {
    /// Only rows at or after this time.
    pub since: Millis,
    /// Only rows of this operator.
    pub operator: Option<Operator>,
    /// Only rows on this subject.
    pub subject: Option<Arc<str>>,
    /// At most so many rows, the newest; all if zero.
    pub most: usize,
}

/// The rows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Trail {
    rows: VecDeque<AuditRow>,
    last: u64,
}

impl Trail {
    /// Adds a row; its number is set here.
    pub fn push(&mut self, mut row: AuditRow) {
        self.last = self.last.saturating_add(1);
        row.index = self.last;
        self.rows.push_back(row);
        if self.rows.len() > MAX_AUDIT_ROWS {
            self.rows.pop_front();
        }
    }

    /// Rows that pass the filter, oldest first.
    pub fn select(&self, filter: &AuditFilter) -> Vec<AuditRow> {
        let most = match filter.most {
            0 => MAX_AUDIT_ROWS,
            most => most,
        };
        let newest = self.rows.iter().rev();
        let mut rows: Vec<AuditRow> = newest
            .filter(|row| filter.passes(row))
            .take(most)
            .cloned()
            .collect();
        rows.reverse();
        rows
    }
}

impl AuditFilter {
    fn passes(&self, row: &AuditRow) -> bool {
        let is_operator = self.operator.as_ref().is_none_or(|op| *op == row.operator);
        let is_subject = self.subject.as_ref().is_none_or(|sub| *sub == row.subject);
        row.at >= self.since && is_operator && is_subject
    }
}
