//! Load balancing: the choice among the usable upstreams.
//!
//! A few are sampled at random and the one of lowest cost is chosen, so that routers with the same
//! lagging load reports do not all choose the same upstream. The upstream that has most of the
//! prompt cached joins the sample; the weight of its cache is bounded, so that load outweighs it.

use std::hash::Hasher;

use rand::Rng;
use rustc_hash::FxHasher;

use crate::id::DataCentre;
use crate::unit::Millis;

use super::config::TableConfig;
use super::cost::CostModel;
use super::release::ReleaseBook;
use super::row::Row;
use super::speed::ServiceSpeed;
use super::table::Criteria;

/// The chosen upstream.
pub(super) struct Chosen {
    /// Index among the usable upstreams.
    pub index: usize,
    /// Prompt tokens that the upstream has to process.
    pub uncached: u64,
    /// Where the request's session is placed.
    pub place: SessionPlace,
}

/// Where a request of a session is placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionPlace {
    /// The request names no session.
    None,
    /// At the upstream that all routers favour.
    Home,
    /// At the next one in the session's order, since those before it are slow or full.
    NextHome,
    /// At another one, where the answer is expected sooner.
    Elsewhere,
}

/// Inputs of one choice.
pub(super) struct ChoiceContext<'a> {
    pub now: Millis,
    pub config: &'a TableConfig,
    /// Data centre of the router.
    pub centre: &'a DataCentre,
    pub criteria: &'a Criteria,
    /// Number of routers that send requests to the same upstreams; 0 if not known.
    pub routers: u32,
    /// Whether the request is suspected of having crashed an upstream.
    pub suspected: bool,
    /// When an announcement of any upstream last arrived.
    pub last_heard: Millis,
    /// Software versions of the upstreams.
    pub releases: &'a ReleaseBook,
    /// Speed of the upstreams of the kind, if attempts have measured it.
    pub speed: Option<&'a ServiceSpeed>,
}

impl ChoiceContext<'_> {
    /// Returns the chosen upstream, or `None` if `rows` is empty.
    pub fn choose(&self, rows: &[&Row], rng: &mut impl Rng) -> Option<Chosen> {
        let has_sizes = !self.criteria.sizes.is_empty();
        if has_sizes && rows.iter().any(|row| row.speed.is_told()) {
            return self.shortest_wait(rows, rng);
        }
        let index = match has_sizes {
            true => self.shortest_even_wait(rows)?,
            false => self.least_loaded(rows, rng)?,
        };
        Some(Chosen {
            index,
            uncached: self.uncached(rows[index]),
            place: SessionPlace::None,
        })
    }

    /// Returns the upstream with the shortest expected wait for the first event of the answer if all
    /// are of the same speed. Upstreams that never told how long work takes are treated so.
    fn shortest_even_wait(&self, rows: &[&Row]) -> Option<usize> {
        let session = self.rendezvous_upstream(rows);
        (0..rows.len()).min_by_key(|&index| {
            let row = rows[index];
            let uncached = match session {
                Some(session) if session == index => self.uncached_at_session_upstream(),
                _ => self.uncached(row),
            };
            let pending = row.pending_prefill.saturating_add(uncached);
            let prefill = pending / self.config.prefill_rate.max(1);
            let queueing = u64::from(row.in_flight) * self.config.request_delay;
            (prefill.saturating_add(queueing), index)
        })
    }

    /// Returns the upstream with the highest rendezvous weight for the session.
    fn rendezvous_upstream(&self, rows: &[&Row]) -> Option<usize> {
        let key = *self.criteria.prefixes.get(self.criteria.session_prefix?)?;
        let weight = |row: &Row| rendezvous_weight(key, row.announcement.upstream.as_str());
        (0..rows.len()).max_by_key(|&index| weight(rows[index]))
    }

    /// Returns the upstream of lowest cost in a sample.
    fn least_loaded(&self, rows: &[&Row], rng: &mut impl Rng) -> Option<usize> {
        let sampled = self.sample(rows.len(), rng);
        let cached = self.best_cached(rows);
        let local = self.sample_local(rows, rng);
        sampled
            .into_iter()
            .chain(cached)
            .chain(local)
            .min_by_key(|&index| self.cost(rows[index]))
    }

    /// Returns the upstream with the shortest expected wait for the first event of the answer.
    ///
    /// All upstreams are compared, not a sample. Of equals one is drawn, since every router that
    /// took the first would take the same one.
    fn shortest_wait(&self, rows: &[&Row], rng: &mut impl Rng) -> Option<Chosen> {
        let model = CostModel::new(self.now, self.config, self.speed, rows);
        let session = self.session_upstream(rows, &model);
        let start = random_index(rng, rows.len().max(1));
        let order = (start..rows.len()).chain(0..start);
        let costs = order.map(|index| {
            let uncached = match session {
                Some((home, _)) if home == index => self.uncached_at_session_upstream(),
                _ => self.uncached(rows[index]),
            };
            // A prefix that is processed again delays the other prompts there as well.
            let again = match session {
                Some(_) => uncached.saturating_sub(self.uncached_at_session_upstream()),
                None => 0,
            };
            let tokens = uncached.saturating_add(again.saturating_mul(REPEAT_WEIGHT));
            (model.first_event(rows[index], tokens), index, uncached)
        });
        let least = costs.min_by(|one, other| one.0.total_cmp(&other.0));
        let (_, index, uncached) = least?;
        let place = match session {
            None => SessionPlace::None,
            Some((home, place)) if home == index => place,
            Some(_) => SessionPlace::Elsewhere,
        };
        Some(Chosen {
            index,
            uncached,
            place,
        })
    }

    /// Prompt tokens that the session's upstream has to process. It is taken to have the session's
    /// prefix cached from requests of this and the other routers.
    fn uncached_at_session_upstream(&self) -> u64 {
        let shared = self.criteria.session_prefix.map_or(0, |index| index + 1);
        let rest = self.criteria.sizes.iter().skip(shared).copied();
        rest.fold(0, u64::saturating_add)
    }

    /// Returns the upstream that all routers choose for this session without coordination: the one
    /// with the highest rendezvous weight of those that are neither slow nor full.
    fn session_upstream(&self, rows: &[&Row], model: &CostModel) -> Option<(usize, SessionPlace)> {
        let key = *self.criteria.prefixes.get(self.criteria.session_prefix?)?;
        let weight = |row: &Row| rendezvous_weight(key, row.announcement.upstream.as_str());
        let weights: Vec<u64> = rows.iter().map(|row| weight(row)).collect();
        let first = (0..rows.len()).max_by_key(|&index| weights[index])?;
        if model.may_be_home(rows[first]) {
            return Some((first, SessionPlace::Home));
        }
        let others = (0..rows.len()).filter(|&index| model.may_be_home(rows[index]));
        match others.max_by_key(|&index| weights[index]) {
            Some(next) => Some((next, SessionPlace::NextHome)),
            None => Some((first, SessionPlace::Home)),
        }
    }

    /// Prompt tokens after the longest run of prefixes that the upstream likely has cached.
    pub fn uncached(&self, row: &Row) -> u64 {
        let sizes = self.criteria.sizes.iter();
        let segments = self.criteria.prefixes.iter().zip(sizes);
        let missing = segments
            .skip_while(|(hash, _)| row.prefix_cache.contains(self.now, **hash, self.config));
        missing.map(|(_, size)| *size).fold(0, u64::saturating_add)
    }

    /// Returns distinct random indices below `count`, or all of them if there are few.
    fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<usize> {
        if count <= self.config.sample_size {
            return (0..count).collect();
        }
        let mut sampled = Vec::with_capacity(self.config.sample_size);
        while sampled.len() < self.config.sample_size {
            let index = random_index(rng, count);
            if !sampled.contains(&index) {
                sampled.push(index);
            }
        }
        sampled
    }

    /// Returns a random upstream of the router's data centre for a request without a prompt, since
    /// network latency makes up much of a short call.
    fn sample_local(&self, rows: &[&Row], rng: &mut impl Rng) -> Option<usize> {
        if self.config.remote_cost == 0 || !self.criteria.prefixes.is_empty() {
            return None;
        }
        let is_local = |index: &usize| rows[*index].announcement.centre == *self.centre;
        let count = (0..rows.len()).filter(is_local).count();
        (0..rows.len())
            .filter(is_local)
            .nth(random_index(rng, count.max(1)))
    }

    /// Returns the upstream with the largest cached share of the prompt; of equals the cheapest.
    fn best_cached(&self, rows: &[&Row]) -> Option<usize> {
        if self.config.cache_weight == 0 || self.criteria.prefixes.is_empty() {
            return None;
        }
        (0..rows.len())
            .map(|index| (self.cached_share(rows[index]), index))
            .filter(|(share, _)| *share > 0)
            .max_by_key(|&(share, index)| (share, -self.cost(rows[index])))
            .map(|(_, index)| index)
    }

    /// Share of the prompt that the upstream likely has cached, in thousandths.
    fn cached_share(&self, row: &Row) -> u32 {
        row.prefix_cache
            .cached_share(self.now, &self.criteria.prefixes, self.config)
    }

    /// Cost of running the request on an upstream, in thousandths of the load of a full one.
    fn cost(&self, row: &Row) -> i64 {
        let slots = i64::from(row.announcement.slots.max(1));
        let load = i64::from(row.estimated_load(self.config)) * 1_000 / slots;
        let discount =
            i64::from(self.cached_share(row)) * i64::from(self.config.cache_weight) / 1_000;
        let distance = match row.announcement.centre == *self.centre {
            true => 0,
            false => i64::from(self.config.remote_cost),
        };
        // If two suspected requests ran on one upstream, a crash could not be told to be of either.
        let pair = match self.suspected && row.suspected > 0 {
            true => SUSPECTED_PAIR_COST,
            false => 0,
        };
        load - discount + distance + pair
    }
}

/// Prompts that wait, on average, while an upstream processes a prefix that the session's upstream
/// has cached.
const REPEAT_WEIGHT: u64 = 2;

/// Rendezvous weight of an upstream for a session, the same at every router.
fn rendezvous_weight(key: u64, upstream: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(upstream.as_bytes());
    splitmix_finalizer(key ^ splitmix_finalizer(hasher.finish()))
}

/// The finalizer of SplitMix64. `FxHasher` alone places the upstreams on a ring, as it were, on
/// which some get several times as many sessions as others.
fn splitmix_finalizer(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Cost of placing a suspected request beside another one: as much as a full upstream.
const SUSPECTED_PAIR_COST: i64 = 1_000;

/// Returns a random index below `count`.
pub(super) fn random_index(rng: &mut impl Rng, count: usize) -> usize {
    let product = u128::from(rng.next_u64()) * count as u128;
    (product >> 64) as usize
}
