//! Queries of operators on the replicated state.

use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::ledger::Balance;
use chestnutnotch_core::machine::AuditFilter;
use chestnutnotch_core::machine::AuditRow;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_wire::proto;

/// Bound on the rows of the audit trail in one reply.
const MAX_AUDIT_ROWS: u32 = 10_000;

/// Returns one budget, or all of them if the name is empty.
pub(super) fn budgets(machine: &Machine, budget: &str) -> Vec<proto::BudgetRow> {
    let balances = machine.ledger().balances();
    let wanted = balances
        .into_iter()
        .filter(|balance| budget.is_empty() || balance.budget.as_str() == budget);
    wanted.map(budget_row).collect()
}

fn budget_row(balance: Balance) -> proto::BudgetRow {
    proto::BudgetRow {
        budget: balance.budget.to_string(),
        prepaid: balance.prepaid.0,
        unallotted: balance.unallotted.0,
        allotted: balance.allotted.0,
        billed: balance.billed.0,
        wasted: balance.wasted.0,
        unknown: balance.unknown.0,
        bills: balance.bills,
    }
}

/// Returns all revisions and the document of one of them. Revision 0 stands for the one in force.
pub(super) fn history(machine: &Machine, revision: Revision) -> proto::HistoryReply {
    let register = machine.config();
    let revisions = register.history().map(|past| proto::PastRevision {
        revision: past.revision.0,
        at: past.at.0,
        operator: past.operator.to_string(),
    });
    let accepted = if revision == Revision::ZERO {
        Some(register.accepted().clone())
    } else {
        register.document(revision).map(|document| Accepted {
            revision,
            document: document.clone(),
        })
    };
    proto::HistoryReply {
        revisions: revisions.collect(),
        accepted: accepted.map(Into::into),
    }
}

/// Returns the rows of the audit trail that match a request.
pub(super) fn audit(machine: &Machine, request: &proto::AuditRequest) -> Vec<proto::AuditRow> {
    let limit = match request.most {
        0 => MAX_AUDIT_ROWS,
        limit => limit.min(MAX_AUDIT_ROWS),
    };
    let filter = AuditFilter {
        since: Millis(request.since),
        operator: non_empty(&request.operator).map(Into::into),
        subject: non_empty(&request.subject).map(Into::into),
        limit: limit as usize,
    };
    machine.audit(&filter).into_iter().map(audit_row).collect()
}

fn audit_row(row: AuditRow) -> proto::AuditRow {
    proto::AuditRow {
        index: row.index,
        at: row.at.0,
        operator: row.operator.to_string(),
        action: row.action.to_string(),
        subject: row.subject.to_string(),
        before: row.before.to_string(),
        after: row.after.to_string(),
        refused: row
            .refused
            .map(|refusal| refusal.to_string())
            .unwrap_or_default(),
    }
}

/// Returns `None` for an empty text, which means that a filter is not set.
fn non_empty(text: &str) -> Option<&str> {
    (!text.is_empty()).then_some(text)
}
