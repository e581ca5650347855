//! Measures the state of a router: its table of upstreams and its side of the ledger.

use std::hint::black_box;

use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::id::Host;
use chestnutnotch_core::ledger::HolderLedger;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Table;

use crate::fill;
use crate::meter::Meter;
use crate::meter::MeterError;

// Sizes that are measured.
const UPSTREAMS: [usize; 3] = [16, 1_000, 7_700];
const BUDGETS: [usize; 3] = [10, 1_000, 10_000];
/// Routers that share the upstreams.
const ROUTERS: usize = 630;
/// Calls between two readings of the processor time.
const BATCH_CALLS: usize = 20_000;
/// Tokens reserved for each attempt.
const WORST_CASE: Tokens = Tokens(1_000);
/// Tokens billed for each attempt.
const USED: Tokens = Tokens(800);
/// Simulated time between two calls.
const STEP_MILLIS: u64 = 1;

/// Measures applying announcements and choosing upstreams.
pub fn upstreams(meter: &Meter) -> Result<(), MeterError> {
    for size in UPSTREAMS {
        let mut table = Table::new("centre-00".into());
        table.set_routers((0..ROUTERS).map(|n| Host::from(format!("host-{n:04}"))));
        meter.memory("upstream heard of", size, || {
            for n in 0..size {
                table.observe(Millis(1), fill::announcement(n, 1));
            }
        });
        let mut seq = 1;
        meter.time("announcement", size, BATCH_CALLS, |n| {
            seq += 1;
            table.observe(Millis(1), fill::announcement(n % size, seq));
        })?;
        meter.time("choice and its end", size, BATCH_CALLS, |n| {
            let criteria = Criteria {
                sizes: Vec::new(),
                session_prefix: None,
                kind: Kind::Model("model-00".into(), None),
                priority: 0,
                prefixes: (0..8).map(|at| (n % 100 * 8 + at) as u64).collect(),
                body: Fingerprint::of(n.to_le_bytes()),
                parts: Vec::new(),
                avoid: Vec::new(),
                release: None,
            };
            let now = Millis(1 + n as u64 / 100);
            if let Ok(pick) = black_box(table.choose(now, &criteria)) {
                table.end(now, pick.attempt, AttemptOutcome::Completed);
            }
        })?;
    }
    Ok(())
}

/// Measures reservations, with the reports and grants that they need.
pub fn holder_ledger(meter: &Meter) -> Result<(), MeterError> {
    for size in BUDGETS {
        let mut machine = fill::machine(size, 1);
        let mut ledger = HolderLedger::new(Holder::Router(fill::router(0)));
        let mut now = Millis::ZERO;
        meter.memory("budget in a holder's ledger", size, || {
            for n in 0..size {
                black_box(ledger.reserve(now, &fill::budget(n), WORST_CASE).is_ok());
            }
            send_report(&mut ledger, &mut machine, now);
        });
        meter.time("reservation and its end", size, BATCH_CALLS, |n| {
            now += Millis(STEP_MILLIS);
            match ledger.reserve(now, &fill::budget(n % size), WORST_CASE) {
                Ok(reservation) => ledger.settle(reservation, USED, Tokens::ZERO),
                Err(_) => send_report(&mut ledger, &mut machine, now),
            }
        })?;
    }
    Ok(())
}

/// Sends a report to the replicated ledger, if one is due, and applies the grants.
fn send_report(
    ledger: &mut HolderLedger,
    machine: &mut chestnutnotch_core::machine::Machine,
    now: Millis,
) {
    use chestnutnotch_core::command::Command;
    use chestnutnotch_core::command::Reply;
    let Some(draw) = ledger.draw(now) else {
        return;
    };
    if let Reply::Grants(grants) = machine.apply(&fill::stamp(0, Command::Draw(draw))) {
        ledger.apply_grants(now, grants);
    }
}
