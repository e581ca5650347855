//! Measures the replicated state: memory per item and processor time per command.

use std::hint::black_box;

use chestnutnotch_core::command::CallEnd;
use chestnutnotch_core::command::Claim;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Conclude;
use chestnutnotch_core::command::Recorded;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::machine::Machine;

use crate::fill;
use crate::meter::Meter;
use crate::meter::MeterError;
use crate::meter::print_bytes;

// Sizes that are measured.
const BUDGETS: [usize; 3] = [10_000, 100_000, 380_000];
const ROUTERS: [usize; 3] = [12, 90, 630];
const ROWS: [usize; 3] = [1, 10, 100];
const RECORDS: [usize; 3] = [10_000, 100_000, 1_000_000];
const CLAIMS: [usize; 3] = [1_000, 10_000, 60_000];
/// Calls, rows or bills between two readings of the processor time.
const BATCH_CALLS: usize = 20_000;
/// Bills in one command.
const BATCH_BILLS: usize = 50;
/// Size of a recorded answer.
const ANSWER_BYTES: usize = 200;

/// Measures budgets that no router draws on, and budgets with one holder each.
pub fn budgets(meter: &Meter) -> Result<(), MeterError> {
    for size in BUDGETS {
        let mut machine = meter.memory("budget in the ledger and the configuration", size, || {
            fill::machine(size, 1)
        });
        meter.memory("budget drawn on by one router, besides", size, || {
            for n in 0..size {
                let draw = fill::draw(0, n as u64 + 1, [n]);
                machine.apply(&fill::stamp(n, Command::Draw(draw)));
            }
        });
        snapshot("snapshot, per budget", size, &machine);
    }
    Ok(())
}

/// Measures reports on budgets that every router draws on, by the number of their rows.
pub fn draws(meter: &Meter) -> Result<(), MeterError> {
    for routers in ROUTERS {
        let mut machine = fill::machine(ROWS[2], routers);
        for holder in 0..routers {
            let draw = fill::draw(holder, 1, 0..ROWS[2]);
            machine.apply(&fill::stamp(0, Command::Draw(draw)));
        }
        let mut seq = 1;
        for rows in ROWS {
            let label = format!("report of {rows} budgets, each held by all routers");
            meter.time(&label, routers, BATCH_CALLS / rows, |n| {
                seq += 1;
                let draw = fill::draw(n % routers, seq, 0..rows);
                black_box(machine.apply(&fill::stamp(n, Command::Draw(draw))));
            })?;
        }
    }
    Ok(())
}

/// Measures the memory of a bill and the time of a batch of bills.
pub fn bills(meter: &Meter) -> Result<(), MeterError> {
    for size in RECORDS {
        let mut machine = fill::machine(1, 1);
        let draw = fill::draw(0, 1, [0]);
        machine.apply(&fill::stamp(0, Command::Draw(draw)));
        meter.memory("bill within the horizon", size, || {
            for n in 0..size / BATCH_BILLS {
                let bills = (n * BATCH_BILLS..(n + 1) * BATCH_BILLS)
                    .map(fill::bill)
                    .collect();
                machine.apply(&fill::stamp(n, Command::Bill(bills)));
            }
        });
        let first = size;
        let label = format!("batch of {BATCH_BILLS} bills");
        meter.time(&label, size, BATCH_CALLS / BATCH_BILLS, |n| {
            let start = first + n * BATCH_BILLS;
            let bills = (start..start + BATCH_BILLS).map(fill::bill).collect();
            black_box(machine.apply(&fill::stamp(n, Command::Bill(bills))));
        })?;
    }
    Ok(())
}

/// Measures claims with their recorded answers.
pub fn claims(meter: &Meter) -> Result<(), MeterError> {
    for size in CLAIMS {
        let mut machine = fill::machine(1, 1);
        meter.memory("claim with a recorded answer of 200 bytes", size, || {
            for n in 0..size {
                run_claim(&mut machine, n);
            }
        });
        meter.time("claim and its conclusion", size, BATCH_CALLS / 10, |n| {
            run_claim(&mut machine, size + n);
        })?;
    }
    Ok(())
}

/// Claims a call and concludes it with a recorded answer.
fn run_claim(machine: &mut Machine, n: usize) {
    let claim = Claim {
        id: fill::request(n),
        body: Fingerprint::of(n.to_le_bytes()),
        service: "desk".into(),
        router: fill::router(0),
        nonce: n as u64,
    };
    let conclude = Conclude {
        id: fill::request(n),
        router: fill::router(0),
        nonce: n as u64,
        end: CallEnd::Answered(Recorded {
            status: 200,
            kind: "application/json".into(),
            body: vec![b'x'; ANSWER_BYTES].into(),
        }),
    };
    black_box(machine.apply(&fill::stamp(n, Command::Claim(claim))));
    black_box(machine.apply(&fill::stamp(n, Command::Conclude(conclude))));
}

/// Prints the size of a snapshot, divided by `size` items.
fn snapshot(label: &str, size: usize, machine: &Machine) {
    let bytes = postcard::to_stdvec(machine).map_or(0, |bytes| bytes.len());
    print_bytes(label, size, bytes / size);
}
