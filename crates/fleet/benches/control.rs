//! Processor time of the work of control replicas and routers, each at three sizes: applying a
//! report and a batch of bills to the ledger, applying an announcement, and choosing an upstream.

use std::hint::black_box;
use std::time::Duration;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Table;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

#[allow(dead_code)]
#[path = "../examples/capacity/fill.rs"]
mod fill;

// Sizes that each benchmark runs at.
const HOLDERS: [usize; 3] = [12, 90, 630];
const UPSTREAMS: [usize; 3] = [16, 1_000, 7_700];
const STORED_BILLS: [usize; 3] = [1_000, 10_000, 100_000];
/// Bills in one command.
const BATCH_BILLS: usize = 50;
const SAMPLES: usize = 20;
const WARM_UP_TIME: Duration = Duration::from_millis(300);
const MEASUREMENT_TIME: Duration = Duration::from_secs(1);

/// Returns a machine with one budget that every holder draws on.
fn machine_with_draws(holders: usize) -> Machine {
    let mut machine = fill::machine(1, holders);
    for holder in 0..holders {
        let draw = Command::Draw(fill::draw(holder, 1, [0]));
        machine.apply(&fill::stamp(0, draw));
    }
    machine
}

fn reports(c: &mut Criterion) {
    let mut group = c.benchmark_group("report of one budget, by holders");
    for holders in HOLDERS {
        let mut machine = machine_with_draws(holders);
        let mut seq = 1;
        group.bench_function(BenchmarkId::from_parameter(holders), |b| {
            b.iter(|| {
                seq += 1;
                let draw = fill::draw(seq as usize % holders, seq, [0]);
                black_box(machine.apply(&fill::stamp(0, Command::Draw(draw))))
            });
        });
    }
}

fn bills(c: &mut Criterion) {
    let mut group = c.benchmark_group("batch of 50 bills, by bills kept");
    for stored in STORED_BILLS {
        let mut machine = machine_with_draws(1);
        let mut next_bill = 0;
        let mut batch = |machine: &mut Machine| {
            let bills = (next_bill..next_bill + BATCH_BILLS)
                .map(fill::bill)
                .collect();
            next_bill += BATCH_BILLS;
            black_box(machine.apply(&fill::stamp(0, Command::Bill(bills))))
        };
        for _ in 0..stored / BATCH_BILLS {
            batch(&mut machine);
        }
        group.bench_function(BenchmarkId::from_parameter(stored), |b| {
            b.iter(|| batch(&mut machine));
        });
    }
}

/// Returns a table of announced upstreams.
fn table(size: usize) -> Table {
    let mut table = Table::new("centre-00".into());
    for n in 0..size {
        table.observe(Millis(1), fill::announcement(n, 1));
    }
    table
}

fn announcements(c: &mut Criterion) {
    let mut group = c.benchmark_group("announcement, by upstreams");
    for size in UPSTREAMS {
        let mut table = table(size);
        let mut seq = 1;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                seq += 1;
                table.observe(Millis(1), fill::announcement(seq as usize % size, seq))
            });
        });
    }
}

fn choices(c: &mut Criterion) {
    let mut group = c.benchmark_group("choice and its end, by upstreams");
    let criteria = Criteria {
        sizes: Vec::new(),
        session_prefix: None,
        kind: Kind::Model("model-00".into(), None),
        priority: 0,
        prefixes: (0..8).collect(),
        body: Fingerprint::of("body"),
        parts: Vec::new(),
        avoid: Vec::new(),
        release: None,
    };
    for size in UPSTREAMS {
        let mut table = table(size);
        for n in 0..size {
            table.observe(Millis(1), fill::announcement(n, 2));
        }
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                if let Ok(pick) = black_box(table.choose(Millis(1), &criteria)) {
                    table.end(Millis(1), pick.attempt, AttemptOutcome::Completed);
                }
            });
        });
    }
}

criterion_group! {
    name = control;
    config = Criterion::default()
        .sample_size(SAMPLES)
        .warm_up_time(WARM_UP_TIME)
        .measurement_time(MEASUREMENT_TIME)
        .without_plots();
    targets = reports, bills, announcements, choices
}
criterion_main!(control);
