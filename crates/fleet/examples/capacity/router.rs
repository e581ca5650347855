//! A router's own state: upstreams it knows and the purse it spends from.

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

const UPSTREAMS: [usize; 3] = [16, 1_000, 7_700];
const BUDGETS: [usize; 3] = [10, 1_000, 10_000];
const ROUTERS: usize = 630;
const CALLS: usize = 20_000;
const WORST: Tokens = Tokens(1_000);
const USED: Tokens = Tokens(800);
/// Simulated pause between calls.
const STEP_MILLIS: u64 = 1;

/// Announcements taken in, and choices among them.
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
        meter.time("announcement", size, CALLS, |n| {
            seq += 1;
            table.observe(Millis(1), fill::announcement(n % size, seq));
        })?;
        meter.time("choice and its end", size, CALLS, |n| {
            let wanted = Criteria {
                sizes: Vec::new(),
                session_prefix: None,
                kind: Kind::Model("model-00".into(), None),
                priority: 0,
                prefixes: (0..8).map(|at| (n % 100 * 8 + at) as u64).collect(),
                body: Fingerprint::of(n.to_le_bytes()),
                avoid: Vec::new(),
            };
            let now = Millis(1 + n as u64 / 100);
            if let Ok(pick) = black_box(table.choose(now, &wanted)) {
                table.end(now, pick.attempt, AttemptOutcome::Completed);
            }
        })?;
    }
    Ok(())
}

/// Reservations and reports of a purse.
pub fn purse(meter: &Meter) -> Result<(), MeterError> {
    for size in BUDGETS {
        let mut machine = fill::machine(size, 1);
        let mut purse = HolderLedger::new(Holder::Router(fill::router(0)));
        let mut now = Millis::ZERO;
        meter.memory("budget in a purse", size, || {
            for n in 0..size {
                black_box(purse.reserve(now, &fill::budget(n), WORST).is_ok());
            }
            exchange(&mut purse, &mut machine, now);
        });
        meter.time("reservation and its end", size, CALLS, |n| {
            now += Millis(STEP_MILLIS);
            match purse.reserve(now, &fill::budget(n % size), WORST) {
                Ok(held) => purse.settle(held, USED, Tokens::ZERO),
                Err(_) => exchange(&mut purse, &mut machine, now),
            }
        })?;
    }
    Ok(())
}

/// One report to the ledger and its answer.
fn exchange(
    purse: &mut HolderLedger,
    machine: &mut chestnutnotch_core::machine::Machine,
    now: Millis,
) {
    use chestnutnotch_core::command::Command;
    use chestnutnotch_core::command::Reply;
    let Some(draw) = purse.draw(now) else {
        return;
    };
    if let Reply::Grants(grants) = machine.apply(&fill::stamp(0, Command::Draw(draw))) {
        purse.apply_grants(now, grants);
    }
}
