//! Membership, leases, the audit trail and snapshots.
#![allow(clippy::panic, clippy::unwrap_used)]

mod state;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Lead;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Retire;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::machine::Action;
use chestnutnotch_core::machine::AuditFilter;
use chestnutnotch_core::machine::MAX_AUDIT_ROWS;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Fence;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;

use state::*;

fn joined(incarnation: u64) -> Reply {
    Reply::Joined(Incarnation(incarnation))
}

fn join_is_idempotent() {
    let mut machine = Machine::default();
    assert_eq!(apply(&mut machine, join("desk-1", 7)), joined(1));
    assert_eq!(apply(&mut machine, join("desk-1", 7)), joined(1));
    assert_eq!(apply(&mut machine, join("desk-1", 8)), joined(2));
    let closed = Refusal::Closed(Holder::Router(router("desk-1", 1)));
    assert_eq!(
        apply(&mut machine, join("desk-1", 7)),
        Reply::Refused(closed)
    );
    assert_eq!(apply(&mut machine, join("desk-1", 8)), joined(2));
}

fn retire_keeps_later_incarnations() {
    let mut machine = Machine::default();
    apply(&mut machine, join("desk-1", 1));
    apply(&mut machine, join("desk-1", 2));
    let last = Command::Retire(Retire {
        host: "desk-1".into(),
        last: Some(Incarnation(1)),
    });
    assert_eq!(apply(&mut machine, last), Reply::Retired(None));
    let reply = apply(&mut machine, retire("desk-1"));
    assert_eq!(reply, Reply::Retired(Some(Incarnation(2))));
    assert_eq!(apply(&mut machine, retire("desk-1")), Reply::Retired(None));
    assert!(machine.routers().is_empty());
}

fn lead(machine: &mut Machine, at: u64, host: &str) -> Reply {
    let command = Command::Lead(Lead {
        centre: "marmara-1".into(),
        router: router(host, 1),
        span: Millis(100),
    });
    machine.apply(&stamped_at(at, host, command))
}

fn fences_increase() {
    let mut machine = Machine::default();
    apply(&mut machine, join("desk-1", 1));
    apply(&mut machine, join("desk-2", 1));
    assert_eq!(lead(&mut machine, 0, "desk-1"), Reply::Leads(Fence(1)));
    assert_eq!(lead(&mut machine, 50, "desk-1"), Reply::Leads(Fence(1)));
    let refused = Reply::Refused(Refusal::Led {
        router: router("desk-1", 1),
        until: Millis(150),
    });
    assert_eq!(lead(&mut machine, 149, "desk-2"), refused);
    assert_eq!(lead(&mut machine, 150, "desk-2"), Reply::Leads(Fence(2)));
    assert_eq!(lead(&mut machine, 300, "desk-1"), Reply::Leads(Fence(3)));
}

fn time_never_goes_back() {
    let mut machine = Machine::default();
    apply(&mut machine, join("desk-1", 1));
    apply(&mut machine, join("desk-2", 1));
    lead(&mut machine, 1_000, "desk-1");
    lead(&mut machine, 10, "desk-1");
    let refused = lead(&mut machine, 20, "desk-2");
    assert!(matches!(refused, Reply::Refused(Refusal::Led { .. })));
}

fn audits_changes() {
    let mut machine = machine(10);
    machine.apply(&stamped_at(5, "reto", top_up("may", 5)));
    machine.apply(&stamped_at(6, "reto", top_up("may", 6)));
    machine.apply(&stamped_at(7, "reto", publish("x", 0, document(10))));
    let rows = machine.audit(&AuditFilter {
        since: Millis(5),
        operator: Some("reto".into()),
        ..AuditFilter::default()
    });
    assert_eq!(rows.len(), 3);
    assert_eq!((&*rows[0].before, &*rows[0].after), ("10", "15"));
    assert_eq!(rows[0].refused, None);
    assert!(matches!(rows[1].refused, Some(Refusal::Reused(_))));
    assert!(matches!(rows[2].refused, Some(Refusal::Conflict { .. })));
    let top_ups = machine.audit(&AuditFilter {
        subject: Some("season".into()),
        limit: 1,
        ..AuditFilter::default()
    });
    assert_eq!(top_ups.len(), 1);
    assert_eq!(top_ups[0].action, Action::TopUp);
}

fn bounds_audit_trail() {
    let mut machine = machine(10);
    for id in 0..MAX_AUDIT_ROWS as u64 + 10 {
        apply(&mut machine, top_up(&id.to_string(), 1));
    }
    let rows = machine.audit(&AuditFilter::default());
    assert_eq!(rows.len(), MAX_AUDIT_ROWS);
    assert_eq!(rows[0].index, 12);
}

fn snapshot_restores_state() {
    let mut machine = machine(1_000_000);
    let mut holder_ledger = join_holder(&mut machine, "desk-1", 1);
    assert!(
        holder_ledger
            .reserve(Millis(0), &budget(), Tokens(10))
            .is_err()
    );
    exchange(&mut machine, &mut holder_ledger, 0);
    apply(
        &mut machine,
        Command::Bill(vec![bill(holder_ledger.holder(), "a", 1, 5)]),
    );
    apply(&mut machine, retire("desk-1"));
    let bytes = postcard::to_stdvec(&machine).unwrap();
    let mut restored: Machine = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(restored, machine);
    let next = stamped(seal(REPLICAS[0], holder_ledger.holder()));
    assert_eq!(restored.apply(&next), machine.apply(&next));
    assert_eq!(restored, machine);
}

cases! {
    a_resent_join_gets_its_incarnation: join_is_idempotent();
    a_retirement_spares_later_incarnations: retire_keeps_later_incarnations();
    a_fencing_number_belongs_to_one_router: fences_increase();
    a_lease_outlives_a_slow_clock: time_never_goes_back();
    each_change_leaves_a_row: audits_changes();
    the_trail_is_bounded: bounds_audit_trail();
    a_snapshot_restores_the_state: snapshot_restores_state();
}
