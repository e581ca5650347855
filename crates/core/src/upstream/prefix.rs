//! Which prompt prefixes an upstream has likely cached.
//!
//! The view is fed by the router's own routing and by the upstream's cache events, which come late
//! and with gaps. It is a guess that weighs in the choice and decides nothing alone.

use crate::map::Map;
use crate::unit::Millis;

use super::config::TableConfig;

/// Bounded guess at one upstream's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    entries: Map<u64, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    seen_at: Millis,
    routed_at: Option<Millis>,
}

impl PrefixCache {
    /// A request with these prefixes was sent to the upstream.
    pub fn record_routed(&mut self, now: Millis, prefixes: &[u64], config: &TableConfig) {
        for &hash in prefixes {
            let entry = Entry {
                seen_at: now,
                routed_at: Some(now),
            };
            self.insert(hash, entry, config);
        }
    }

    /// The upstream said that it cached a prefix.
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

    /// The upstream said that it evicted a prefix. The event may be older than the last request
    /// that this router sent there with the same prefix; then it is void.
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

    /// Part of the prompt that is likely cached, in thousandths. Prefixes come shortest first.
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

    /// Whether a prefix is likely cached.
    pub fn contains(&self, now: Millis, hash: u64, config: &TableConfig) -> bool {
        let entry = self.entries.get(&hash);
        entry.is_some_and(|entry| now < entry.seen_at + config.prefix_ttl)
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Number of prefixes held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, hash: u64, entry: Entry, config: &TableConfig) {
        while self.entries.len() >= config.max_prefixes.max(1) && !self.entries.contains_key(&hash)
        {
            self.drop_older_half();
        }
        self.entries.insert(hash, entry);
    }

    /// Drops the older half, so that a full view costs one pass for many insertions.
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
