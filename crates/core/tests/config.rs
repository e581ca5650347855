//! Validation of configurations, and what publishing one changes.
#![allow(clippy::panic, clippy::unwrap_used)]

mod state;

use std::sync::Arc;

use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::BudgetSpec;
use chestnutnotch_core::config::ConfigError;
use chestnutnotch_core::config::Document;
use chestnutnotch_core::config::MAX_DOCUMENTS;
use chestnutnotch_core::config::ModelSpec;
use chestnutnotch_core::config::ServiceSpec;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;

use state::*;

fn model(name: &str) -> ModelSpec {
    ModelSpec {
        name: name.into(),
        limit: Tokens(100),
        priority: 0,
        first: Millis(1_000),
        between: Millis(1_000),
        whole: Millis(1_000),
    }
}

fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        idempotent: vec!["/stock".into()],
        keyed: true,
        priority: 1,
        whole: Millis(1_000),
    }
}

/// A valid document with a table of each kind.
fn valid_document() -> Document {
    let mut document = document(10);
    document.models.push(model("fit"));
    document.services.push(service("desk"));
    document.workspaces[0].models.push("fit".into());
    document.workspaces[0].services.push("desk".into());
    document
}

/// Returns the error message for a valid document after an edit.
fn error_message(edit: impl Fn(&mut Document)) -> String {
    let mut document = valid_document();
    edit(&mut document);
    document.check().unwrap_err().to_string()
}

/// Checks that a valid document is refused after an edit, with `part` in the message.
fn refuses(part: &str, edit: impl Fn(&mut Document)) {
    let message = error_message(edit);
    assert!(message.contains(part), "{message}");
}

/// Two operators publish on the same base: the first wins, and the second is told the revision in
/// force. Resent submissions get their first answers, and a reused submission id is refused.
fn publish_concurrently() {
    let mut machine = Machine::default();
    let winner = stamped_at(1, "ayla", publish("a", 0, document(10)));
    let loser = stamped_at(2, "reto", publish("b", 0, document(20)));
    let conflict = Reply::Refused(Refusal::Conflict {
        current: Revision(1),
        operator: "ayla".into(),
    });
    assert_eq!(machine.apply(&winner), Reply::Accepted(Revision(1)));
    assert_eq!(machine.apply(&loser), conflict);
    let next = stamped_at(3, "reto", publish("c", 1, valid_document()));
    assert_eq!(machine.apply(&next), Reply::Accepted(Revision(2)));
    assert_eq!(machine.apply(&winner), Reply::Accepted(Revision(1)));
    assert_eq!(machine.apply(&loser), conflict);
    assert_eq!(machine.accepted().revision, Revision(2));
    let reused = stamped_at(4, "reto", publish("c", 1, document(10)));
    let refusal = Reply::Refused(Refusal::Reused("c".into()));
    assert_eq!(machine.apply(&reused), refusal);
}

/// Publishes an edit of the configuration in force, with a budget of 10 tokens.
fn publish_edit(edit: impl Fn(&mut Document)) -> Reply {
    let mut machine = machine(10);
    let mut next = document(10);
    edit(&mut next);
    apply(&mut machine, publish("next", 1, next))
}

fn keeps_first_deposit() {
    let reply = publish_edit(|next| next.budgets[0].prepaid = Tokens(11));
    let error = ConfigError::PrepaidEdited(budget());
    assert_eq!(reply, Reply::Refused(Refusal::Invalid(error)));
}

fn keeps_budget_with_money() {
    let reply = publish_edit(|next| {
        next.budgets.clear();
        next.workspaces.clear();
    });
    let error = ConfigError::BudgetRemoved(budget());
    assert_eq!(reply, Reply::Refused(Refusal::Invalid(error)));
}

fn removes_blank_budget() {
    let mut machine = machine(0);
    let reply = apply(&mut machine, publish("next", 1, Document::default()));
    assert_eq!(reply, Reply::Accepted(Revision(2)));
    assert!(machine.ledger().balances().is_empty());
}

fn deposits_once() {
    let mut machine = machine(10);
    apply(&mut machine, top_up("may", 5));
    apply(&mut machine, publish("next", 1, document(10)));
    assert_eq!(balance(&machine).prepaid, Tokens(15));
}

fn bounds_history() {
    let mut machine = machine(10);
    let last = MAX_DOCUMENTS as u64 + 5;
    for base in 1..last {
        apply(&mut machine, publish(&base.to_string(), base, document(10)));
    }
    let config = machine.config();
    assert_eq!(config.history().count() as u64, last);
    assert!(config.document(Revision(5)).is_none());
    assert!(config.document(Revision(6)).is_some());
    assert_eq!(
        config.document(Revision(last)),
        Some(&Arc::new(document(10)))
    );
}

cases! {
    a_whole_document_passes: valid_document().check().unwrap();
    a_name_is_used_once: refuses("declared twice", |d| d.models.push(model("fit")));
    a_name_is_plain: refuses("name has to be", |d| d.services[0].name = "a/b".into());
    a_budget_is_declared: refuses("budget gone", |d| d.workspaces[0].budget = "gone".into());
    a_model_is_declared: refuses("model gone", |d| d.workspaces[0].models.push("gone".into()));
    a_service_is_declared: refuses("service gone", |d| d.workspaces[0].services.push("gone".into()));
    a_key_is_a_hash: refuses("64 lower-case", |d| d.workspaces[0].keys[0] = "secret".into());
    a_key_has_one_workspace: refuses("share a key", |d| d.workspaces.push(workspace("x", 'a')));
    a_workspace_has_a_key: refuses("1 to 64 keys", |d| d.workspaces[0].keys.clear());
    a_share_is_positive: refuses("share", |d| d.workspaces[0].share = 0);
    a_limit_is_positive: refuses("limit", |d| d.models[0].limit = Tokens(0));
    a_wait_is_positive: refuses("between", |d| d.models[0].between = Millis(0));
    a_path_is_absolute: refuses("start with /", |d| d.services[0].idempotent = vec!["x".into()]);
    a_deposit_is_bounded: refuses("prepaid", |d| d.budgets.push(BudgetSpec {
        name: "vast".into(),
        prepaid: Tokens(u64::MAX),
    }));
    one_of_two_operators_wins: publish_concurrently();
    a_first_deposit_stays: keeps_first_deposit();
    a_budget_with_money_stays: keeps_budget_with_money();
    a_blank_budget_may_go: removes_blank_budget();
    a_deposit_is_made_once: deposits_once();
    the_history_is_bounded: bounds_history();
}
