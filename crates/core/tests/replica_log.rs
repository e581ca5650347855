//! The in-memory log: its size, and the entries that it keeps before a snapshot.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use chestnutnotch_core::replica::Entry;
use chestnutnotch_core::replica::Log;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::replica::Payload;
use chestnutnotch_core::replica::Position;
use chestnutnotch_core::replica::Snapshot;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn entry(index: u64, size: usize) -> Entry {
    Entry {
        at: position(index),
        payload: Payload::Command(vec![0; size].into()),
    }
}

fn position(index: u64) -> Position {
    Position {
        term: Term(1),
        index: Index(index),
    }
}

fn snapshot(index: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        at: position(index),
        members: Members::default(),
        data: Arc::default(),
    })
}

fn sum_of_sizes(log: &Log) -> usize {
    let entries = log.slice(log.base().index.next(), usize::MAX, usize::MAX);
    entries.iter().map(|entry| entry.payload.size()).sum()
}

#[test]
fn size_is_the_sum_of_the_commands() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut log = Log::new(snapshot(0), vec![entry(1, 5), entry(2, 7)]);
        for _ in 0..100 {
            let (first, last) = (log.base().index.0, log.last().index.0);
            match rng.random_range(0..8) {
                0 => log.truncate(Index(rng.random_range(first + 1..=last + 1))),
                1 => log.compact(
                    snapshot(rng.random_range(first..=last)),
                    rng.random_range(0..4),
                ),
                2 => log.install(snapshot(rng.random_range(first..=last + 3))),
                _ => log.push(entry(last + 1, rng.random_range(0..1_000))),
            }
            assert_eq!(log.size(), sum_of_sizes(&log), "seed {seed}");
        }
    }
}

macro_rules! entries_counted_back {
    ($($name:ident: $until:literal, $bytes:literal => $count:literal)*) => {$(
        #[test]
        fn $name() {
            let entries = (3..=10).map(|index| entry(index, 100)).collect();
            let log = Log::new(snapshot(2), entries);
            assert_eq!(log.count_back(Index($until), $bytes), $count);
        }
    )*};
}

entries_counted_back! {
    entries_within_the_bytes_are_kept: 10, 250 => 2
    entries_after_the_index_do_not_count: 8, 250 => 2
    all_entries_are_kept_if_they_fit: 10, 10_000 => 8
    none_is_kept_if_the_last_is_too_large: 10, 99 => 0
    none_is_kept_of_what_was_compacted_away: 2, 10_000 => 0
    none_is_kept_before_the_log: 0, 10_000 => 0
    index_past_the_end_counts_as_the_end: 15, 250 => 2
}
