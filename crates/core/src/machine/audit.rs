//! The audit trail: who changed what, when, from what to what.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Refusal;
use crate::id::Operator;
use crate::unit::Millis;

/// Most rows kept; beyond it the oldest row is dropped.
pub const MAX_AUDIT_ROWS: usize = 20_000;

/// One requested change of the replicated state, accepted or refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRow {
    /// Number of the row, counted from 1; set by the trail.
    pub index: u64,
    /// Time of the change: the highest leader's Unix time so far, so it never goes back.
    pub at: Millis,
    /// Operator or host that asked for the change.
    pub operator: Operator,
    /// Kind of the change.
    pub action: Action,
    /// What was changed: a host, a holder, a budget or the like.
    pub subject: Arc<str>,
    /// State before the change, empty if none.
    pub before: Arc<str>,
    /// State after the change, empty if none.
    pub after: Arc<str>,
    /// Reason of the refusal, if the change was refused.
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
    /// Evidence on a closed holder was taken in.
    Resolve,
    /// A configuration was published.
    Publish,
    /// Tokens were added to a budget.
    TopUp,
    /// A router took the lease to give orders in a data centre.
    Lead,
    /// A set of pass-through routes came into force.
    Adopt,
    /// The evacuation of a data centre was ordered or withdrawn.
    Evacuate,
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
            Self::Evacuate => "evacuate",
        })
    }
}

/// Selects rows of the audit trail. The default selects all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditFilter {
    /// Only rows at or after this Unix time.
    pub since: Millis,
    /// Only rows of this operator.
    pub operator: Option<Operator>,
    /// Only rows on this subject.
    pub subject: Option<Arc<str>>,
    /// Most rows to return, the newest ones; all if zero.
    pub limit: usize,
}

/// The rows kept, oldest first, and the number of the last one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct AuditTrail {
    rows: VecDeque<AuditRow>,
    last: u64,
}

impl AuditTrail {
    /// Adds a row and sets its number.
    pub fn push(&mut self, mut row: AuditRow) {
        self.last = self.last.saturating_add(1);
        row.index = self.last;
        self.rows.push_back(row);
        if self.rows.len() > MAX_AUDIT_ROWS {
            self.rows.pop_front();
        }
    }

    /// Returns the rows that match the filter, oldest first.
    pub fn select(&self, filter: &AuditFilter) -> Vec<AuditRow> {
        let limit = match filter.limit {
            0 => MAX_AUDIT_ROWS,
            limit => limit,
        };
        let newest = self.rows.iter().rev();
        let mut rows: Vec<AuditRow> = newest
            .filter(|row| filter.matches(row))
            .take(limit)
            .cloned()
            .collect();
        rows.reverse();
        rows
    }
}

impl AuditFilter {
    fn matches(&self, row: &AuditRow) -> bool {
        let matches_operator = self.operator.as_ref().is_none_or(|op| *op == row.operator);
        let matches_subject = self.subject.as_ref().is_none_or(|sub| *sub == row.subject);
        row.at >= self.since && matches_operator && matches_subject
    }
}
