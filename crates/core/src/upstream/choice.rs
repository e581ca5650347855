//! Choice among the usable upstreams.
//!
//! A few are drawn at random and the best of them is taken, so that routers that see the same
//! lagging reports do not all turn to the same upstream. The one with most of the prompt cached
//! joins the draw; its advantage is bounded, so load outweighs it.

use std::hash::Hasher;

use rand::Rng;
use rustc_hash::FxHasher;

use crate::id::DataCentre;
use crate::unit::Millis;

use super::row::Row;
use super::rules::Rules;
use super::table::Wanted;

/// What a choice is made from.
pub(super) struct View<'a> {
    pub now: Millis,
    pub rules: &'a Rules,
    pub centre: &'a DataCentre,
    pub wanted: &'a Wanted,
    /// Routers that send work to the same upstreams; zero if not known.
    pub routers: u32,
    /// Whether an earlier crash marks the request.
    pub marked: bool,
    /// When any upstream was last heard of.
    pub latest: Millis,
}

impl View<'_> {
    /// Index of the chosen row, if there is any.
    pub fn choose(&self, rows: &[&Row], rng: &mut impl Rng) -> Option<usize> {
        if !self.wanted.sizes.is_empty() {
            return self.quickest(rows);
        }
        let drawn = self.draw(rows.len(), rng);
        let cached = self.cached(rows);
        let local = self.local(rows, rng);
        drawn
            .into_iter()
            .chain(cached)
            .chain(local)
            .min_by_key(|&index| self.cost(rows[index]))
    }

    /// The one with the shortest expected wait for the first event.
    ///
    /// All are weighed, not a sample: own attempts count at once, and what a router can't see of the
    /// others is evened out by the agreed upstream of each session.
    fn quickest(&self, rows: &[&Row]) -> Option<usize> {
        let home = self.home(rows);
        (0..rows.len()).min_by_key(|&index| {
            let row = rows[index];
            let unread = match home {
                Some(home) if home == index => self.unread_at_home(),
                _ => self.unread(row),
            };
            let read = (row.unread + unread) / self.rules.reads.max(1);
            let taken = u64::from(row.flying) * self.rules.turn;
            (read + taken, index)
        })
    }

    /// Prompt tokens to be read at the agreed upstream: other routers have sent it the rest.
    fn unread_at_home(&self) -> u64 {
        let own = self.wanted.home.map_or(0, |home| home + 1);
        self.wanted.sizes.iter().skip(own).sum()
    }

    /// The upstream that all routers agree on for this session: the one with the highest hash.
    fn home(&self, rows: &[&Row]) -> Option<usize> {
        let key = *self.wanted.prefixes.get(self.wanted.home?)?;
        (0..rows.len()).max_by_key(|&index| rank(key, rows[index].said.upstream.as_str()))
    }

    /// Prompt tokens that the upstream likely has not cached.
    pub fn unread(&self, row: &Row) -> u64 {
        let sizes = self.wanted.sizes.iter();
        let parts = self.wanted.prefixes.iter().zip(sizes);
        let lacking =
            parts.skip_while(|(hash, _)| row.prefixes.holds(self.now, **hash, self.rules));
        lacking.map(|(_, size)| *size).sum()
    }

    /// Distinct random indices below `count`.
    fn draw(&self, count: usize, rng: &mut impl Rng) -> Vec<usize> {
        if count <= self.rules.sample {
            return (0..count).collect();
        }
        let mut drawn = Vec::with_capacity(self.rules.sample);
        while drawn.len() < self.rules.sample {
            let index = below(rng, count);
            if !drawn.contains(&index) {
                drawn.push(index);
            }
        }
        drawn
    }

    /// One of those in this data centre, at random, for a request without a prompt: a short call
    /// gains from a short way.
    fn local(&self, rows: &[&Row], rng: &mut impl Rng) -> Option<usize> {
        if self.rules.remote == 0 || !self.wanted.prefixes.is_empty() {
            return None;
        }
        let near = |index: &usize| rows[*index].said.centre == *self.centre;
        let count = (0..rows.len()).filter(near).count();
        (0..rows.len()).filter(near).nth(below(rng, count.max(1)))
    }

    fn cached(&self, rows: &[&Row]) -> Option<usize> {
        if self.rules.affinity == 0 || self.wanted.prefixes.is_empty() {
            return None;
        }
        (0..rows.len())
            .map(|index| (self.share(rows[index]), index))
            .filter(|(share, _)| *share > 0)
            .max_by_key(|&(share, index)| (share, -self.cost(rows[index])))
            .map(|(_, index)| index)
    }

    fn share(&self, row: &Row) -> u32 {
        row.prefixes
            .share(self.now, &self.wanted.prefixes, self.rules)
    }

    /// Cost of running the request there, in thousandths of a full upstream.
    fn cost(&self, row: &Row) -> i64 {
        let slots = i64::from(row.said.slots.max(1));
        let load = i64::from(row.taken(self.rules)) * 1_000 / slots;
        let gain = i64::from(self.share(row)) * i64::from(self.rules.affinity) / 1_000;
        let way = match row.said.centre == *self.centre {
            true => 0,
            false => i64::from(self.rules.remote),
        };
        // Two marked requests on one upstream would leave open which of them crashed it.
        let shared = match self.marked && row.marked > 0 {
            true => SHARED_MARK,
            false => 0,
        };
        load - gain + way + shared
    }
}

/// Weight of an upstream for a session, the same at every router.
fn rank(key: u64, upstream: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(upstream.as_bytes());
    mix(key ^ mix(hasher.finish()))
}

/// The finalizer of SplitMix64. The fast hasher alone gives each upstream a fixed place on a ring,
/// so that some get several times the sessions of others.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

const SHARED_MARK: i64 = 1_000;

fn below(rng: &mut impl Rng, count: usize) -> usize {
    let wide = u128::from(rng.next_u64()) * count as u128;
    (wide >> 64) as usize
}
