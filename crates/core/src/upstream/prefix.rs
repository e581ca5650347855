//! Estimate of the prompt prefixes that an upstream has cached.
//!
//! It is built from the requests that this router sent and from the upstream's cache events, which
//! are late and incomplete. A wrong estimate makes a choice slower, never incorrect.

use crate::map::Map;
use crate::unit::Millis;

use super::config::TableConfig;

/// Estimated content of one upstream's prefix cache, of bounded size.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    entries: Map<u64, Entry>,
}

/// What is known of one prefix.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// When the last request or cache event with the prefix was recorded.
    seen_at: Millis,
    /// When this router last sent a request with the prefix.
    routed_at: Option<Millis>,
}

impl PrefixCache {
    /// Records that a request with these prefixes was sent to the upstream.
    pub fn record_routed(&mut self, now: Millis, prefixes: &[u64], config: &TableConfig) {
        for &hash in prefixes {
            let entry = Entry {
                seen_at: now,
                routed_at: Some(now),
            };
            self.insert(hash, entry, config);
        }
    }

    /// Records the upstream's event that it cached a prefix.
    pub fn record_cached(&mut self, now: Millis, hash: u64, config: &TableConfig) {
        let routed_at = self.entries.get(&hash).and_then(|entry| entry.routed_at);
        self.insert(
            hash,
            Entry {
                seen_at: now,
                routed_at,
            },
            config,
        );
    }

    /// Records the upstream's event that it evicted a prefix.
    ///
    /// The event is ignored within `event_lag` of the last request that this router sent there with
    /// the prefix, since it may be older than that request.
    pub fn record_evicted(&mut self, now: Millis, hash: u64, config: &TableConfig) {
        let outdated = self
            .entries
            .get(&hash)
            .and_then(|entry| entry.routed_at)
            .is_some_and(|at| now < at + config.event_lag);
        if !outdated {
            self.entries.remove(&hash);
        }
    }

    /// Returns the share of the prompt that is likely cached, in thousandths. `prefixes` holds the
    /// hashes of the prompt's prefixes, shortest first.
    pub fn cached_share(&self, now: Millis, prefixes: &[u64], config: &TableConfig) -> u32 {
        let longest = prefixes.iter().rposition(|hash| {
            self.entries
                .get(hash)
                .is_some_and(|entry| now < entry.seen_at + config.prefix_ttl)
        });
        let Some(index) = longest else {
            return 0;
        };
        let share = (index + 1) * 1_000 / prefixes.len();
        u32::try_from(share).unwrap_or(1_000)
    }

    /// Returns whether a prefix is likely cached.
    pub fn contains(&self, now: Millis, hash: u64, config: &TableConfig) -> bool {
        let entry = self.entries.get(&hash);
        entry.is_some_and(|entry| now < entry.seen_at + config.prefix_ttl)
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Number of entries, expired ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Inserts an entry, after making room for it if the bound is reached.
    fn insert(&mut self, hash: u64, entry: Entry, config: &TableConfig) {
        while self.entries.len() >= config.max_prefixes.max(1) && !self.entries.contains_key(&hash)
        {
            self.drop_older_half();
        }
        self.entries.insert(hash, entry);
    }

    /// Removes the older half of the entries, so that one pass makes room for many insertions.
    fn drop_older_half(&mut self) {
        let mut times: Vec<Millis> = self.entries.values().map(|entry| entry.seen_at).collect();
        let middle = times.len() / 2;
        if times.is_empty() {
            return;
        }
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.seen_at > median);
        if self.entries.len() == before {
            self.entries.clear();
        }
        self.entries.shrink_to(middle);
    }
}
