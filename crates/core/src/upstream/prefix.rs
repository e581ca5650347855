//! Which prompt prefixes an upstream has likely cached.
//!
//! The view is fed by the router's own routing and by the upstream's cache events, which come late
//! and with gaps. It is a guess that weighs in the choice and decides nothing alone.

use crate::map::Map;
use crate::unit::Millis;

use super::rules::Rules;

/// Bounded guess at one upstream's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixView {
    seen: Map<u64, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Millis,
    routed: Option<Millis>,
}

impl PrefixView {
    /// A request with these prefixes was sent to the upstream.
    pub fn routed(&mut self, now: Millis, prefixes: &[u64], rules: &Rules) {
        for &hash in prefixes {
            let seen = Seen {
                at: now,
                routed: Some(now),
            };
            self.insert(hash, seen, rules);
        }
    }

    /// The upstream said that it cached a prefix.
    pub fn cached(&mut self, now: Millis, hash: u64, rules: &Rules) {
        let routed = self.seen.get(&hash).and_then(|seen| seen.routed);
        self.insert(hash, Seen { at: now, routed }, rules);
    }

    /// The upstream said that it evicted a prefix. The event may be older than the last request
    /// that this router sent there with the same prefix; then it is void.
    pub fn evicted(&mut self, now: Millis, hash: u64, rules: &Rules) {
        let void = self
            .seen
            .get(&hash)
            .and_then(|seen| seen.routed)
            .is_some_and(|at| now < at + rules.lag);
        if !void {
            self.seen.remove(&hash);
        }
    }

    /// Part of the prompt that is likely cached, in thousandths. Prefixes come shortest first.
    pub fn share(&self, now: Millis, prefixes: &[u64], rules: &Rules) -> u32 {
        let hit = prefixes.iter().rposition(|hash| {
            self.seen
                .get(hash)
                .is_some_and(|seen| now < seen.at + rules.cached)
        });
        let Some(index) = hit else {
            return 0;
        };
        let part = (index + 1) * 1_000 / prefixes.len();
        u32::try_from(part).unwrap_or(1_000)
    }

    /// Whether a prefix is likely cached.
    pub fn holds(&self, now: Millis, hash: u64, rules: &Rules) -> bool {
        let seen = self.seen.get(&hash);
        seen.is_some_and(|seen| now < seen.at + rules.cached)
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.seen.clear();
    }

    /// Number of prefixes held.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn insert(&mut self, hash: u64, seen: Seen, rules: &Rules) {
        while self.seen.len() >= rules.prefixes.max(1) && !self.seen.contains_key(&hash) {
            self.shrink();
        }
        self.seen.insert(hash, seen);
    }

    /// Drops the older half, so that a full view costs one pass for many insertions.
    fn shrink(&mut self) {
        let mut times: Vec<Millis> = self.seen.values().map(|seen| seen.at).collect();
        let middle = times.len() / 2;
        if times.is_empty() {
            return;
        }
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        let before = self.seen.len();
        self.seen.retain(|_, seen| seen.at > median);
        if self.seen.len() == before {
            self.seen.clear();
        }
        self.seen.shrink_to(middle);
    }
}
