//! Size of an announcement, and memory and speed of a table by the number of its upstreams.

use std::time::Instant;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Fingerprint;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Upstream;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::AttemptOutcome;
use chestnutnotch_core::upstream::Criteria;
use chestnutnotch_core::upstream::Kind;
use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::Table;
use chestnutnotch_core::upstream::announce::Loaded;

/// Size of a memory page, in which `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;
/// Number of choices that are timed.
const CHOICES: u32 = 20_000;

/// Prints both tables as Markdown.
pub fn print() {
    println!("| cache events | bytes of an announcement with 3 models (postcard) |");
    println!("|---|---|");
    for events in [0, 8, 32] {
        let bytes =
            postcard::to_allocvec(&announcement(0, 1_000, events)).map_or(0, |bytes| bytes.len());
        println!("| {events} | {bytes} |");
    }
    println!("\n| upstreams in full | resident KB, prefix views full | microseconds a choice |");
    println!("|---|---|---|");
    for rows in [16, 49, 453, 7_700] {
        let before = resident_bytes();
        let mut table = filled_table(rows);
        let kept = resident_bytes().saturating_sub(before) / 1_024;
        println!("| {rows} | {kept} | {:.1} |", choice_micros(&mut table));
    }
}

/// Returns a table with this many upstreams, of each of which it tracks as many prefixes as it may.
fn filled_table(rows: u64) -> Table {
    let mut table = Table::new(DataCentre::from("c0"));
    for row in 0..rows {
        for seq in 1..=16 {
            table.observe(Millis(seq), announcement(row, seq, 32));
        }
    }
    table
}

/// Returns the mean time of a choice and its end, in microseconds.
fn choice_micros(table: &mut Table) -> f64 {
    let start = Instant::now();
    for n in 0..CHOICES {
        let criteria = Criteria {
            sizes: Vec::new(),
            session_prefix: None,
            kind: Kind::Model(Model::from("model-0"), None),
            priority: 0,
            prefixes: vec![1, 2, 3],
            body: Fingerprint::of(n.to_le_bytes()),
            parts: Vec::new(),
            avoid: Vec::new(),
            release: None,
        };
        if let Ok(pick) = table.choose(Millis(20), &criteria) {
            table.end(Millis(20), pick.attempt, AttemptOutcome::Completed);
        }
    }
    start.elapsed().as_micros() as f64 / f64::from(CHOICES)
}

fn announcement(row: u64, seq: u64, events: u64) -> Announcement {
    let loaded = (0..3).map(|n| Loaded {
        model: Model::from(format!("model-{n}")),
        adapter: None,
        version: 1,
    });
    Announcement {
        upstream: Upstream::from(format!("engine-{row:05}")),
        incarnation: Incarnation(1_764_800_000_000),
        seq,
        address: ([10, 1, 2, 3], 8_000).into(),
        centre: DataCentre::from("marmara-1"),
        phase: Phase::Ready,
        offer: Offer::Models(loaded.collect()),
        slots: 64,
        load: Load {
            running: 20,
            waiting: 3,
            cache: 700,
        },
        fences: true,
        cached: (0..events)
            .map(|n| (seq * 64 + n).wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .collect(),
        evicted: Vec::new(),
    }
}

/// Returns the resident memory of this process, or 0 if it can't be read.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
