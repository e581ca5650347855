//! One upstream as a router knows it.

use crate::unit::Millis;

use super::announce::Announcement;
use super::announce::Kind;
use super::announce::Offer;
use super::announce::Phase;
use super::breaker::Breaker;
use super::breaker::BreakerState;
use super::config::TableConfig;
use super::prefix::PrefixCache;
use super::status::Availability;
use super::version::Version;

/// One upstream as a router knows it.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// Greatest announcement heard.
    pub announcement: Announcement,
    /// When that, or a direct answer, was heard.
    pub heard_at: Millis,
    /// Whether a second announcement or a direct answer showed that the first was not an old one.
    pub confirmed: bool,
    /// When the first question without an answer yet was sent.
    pub unanswered_since: Option<Millis>,
    /// When the last question was sent.
    pub last_probe: Option<Millis>,
    /// Whether an attempt or a peer gave reason to ask it.
    pub probe_requested: bool,
    /// Whether it did not answer when it was last asked. Announcements that others passed on do
    /// not end the silence: this router may be cut off from it alone.
    pub unresponsive: bool,
    /// Attempts of this router.
    pub in_flight: u32,
    /// Reported requests that were not this router's.
    pub other_load: u32,
    /// When that was reported.
    pub reported_at: Millis,
    /// Prompt tokens of this router's attempts that have not begun to be answered.
    pub pending_prefill: u64,
    /// Attempts of this router whose request is marked by an earlier crash.
    pub suspected: u32,
    /// Faults.
    pub breaker: Breaker,
    /// Likely cached prefixes.
    pub prefix_cache: PrefixCache,
    /// Number of its last change at this router.
    pub revision: u64,
}

/// How long a load that came with an answer counts: about the time that a request waits in a queue.
const LOAD_TTL: Millis = Millis(1_000);
const PROBE_TIMEOUT: Millis = Millis(30_000);
const PROBE_INTERVAL: Millis = Millis(1_000);
const UNRESPONSIVE_INTERVAL: Millis = Millis(2_000);

impl Row {
    pub fn new(now: Millis, announcement: Announcement, config: &TableConfig) -> Self {
        let mut row = Self {
            announcement,
            heard_at: now,
            confirmed: false,
            unanswered_since: None,
            last_probe: None,
            probe_requested: false,
            unresponsive: false,
            in_flight: 0,
            other_load: 0,
            reported_at: now,
            pending_prefill: 0,
            suspected: 0,
            breaker: Breaker::default(),
            prefix_cache: PrefixCache::default(),
            revision: 0,
        };
        row.apply_load(now, config);
        row
    }

    /// Takes in an announcement. Returns whether it replaces the known one.
    pub fn observe(
        &mut self,
        now: Millis,
        announcement: Announcement,
        config: &TableConfig,
    ) -> bool {
        let new = Version::of(&announcement);
        let known = Version::of(&self.announcement);
        if !new.supersedes(known, config.order) {
            return false;
        }
        if new.incarnation == known.incarnation {
            self.confirmed = true;
        } else {
            self.reset();
        }
        let load = self.announcement.load;
        self.announcement = announcement;
        self.heard_at = now;
        if config.heartbeat_only {
            // Heartbeats carry no load: the last one that came with an answer stays.
            self.announcement.load = load;
            self.unresponsive = false;
            return true;
        }
        self.apply_load(now, config);
        true
    }

    fn reset(&mut self) {
        self.confirmed = false;
        self.unresponsive = false;
        self.probe_requested = false;
        self.in_flight = 0;
        self.pending_prefill = 0;
        self.suspected = 0;
        self.breaker = Breaker::default();
        self.prefix_cache.clear();
    }

    /// Forgets a reported load that is old.
    pub fn expire_load(&mut self, now: Millis) {
        if now >= self.reported_at + LOAD_TTL {
            self.other_load = 0;
        }
    }

    pub fn apply_load(&mut self, now: Millis, config: &TableConfig) {
        self.reported_at = now;
        let load = self.announcement.load;
        let reported = load.running.saturating_add(load.waiting);
        self.other_load = match config.count_own {
            true => reported.saturating_sub(self.in_flight),
            false => reported,
        };
        for &hash in &self.announcement.cached {
            self.prefix_cache.record_cached(now, hash, config);
        }
        for &hash in &self.announcement.evicted {
            self.prefix_cache.record_evicted(now, hash, config);
        }
    }

    /// It answered a question with this incarnation or an older announcement of it.
    pub fn record_probe_answer(&mut self, now: Millis) {
        self.heard_at = now;
        self.confirmed = true;
        self.unresponsive = false;
        self.probe_requested = false;
        self.breaker.record_success(now);
    }

    /// It gave a whole answer. That says nothing of whether it leaves, nor of a break that came
    /// after the last byte was sent, so it stays as stale as it was.
    pub fn record_success(&mut self, now: Millis) {
        self.unresponsive = false;
        self.breaker.record_success(now);
    }

    pub fn offers(&self, kind: &Kind) -> bool {
        match (&self.announcement.offer, kind) {
            (Offer::Models(models), Kind::Model(model, adapter)) => models
                .iter()
                .any(|loaded| loaded.model == *model && loaded.adapter == *adapter),
            (Offer::Service(offered), Kind::Service(service)) => offered == service,
            _ => false,
        }
    }

    /// Whether it is asked before use: it was not heard of lately, or there is reason to doubt it.
    pub fn is_stale(&self, now: Millis, config: &TableConfig) -> bool {
        if config.heartbeat_only {
            return now >= self.heard_at + config.stale_after;
        }
        !self.confirmed || self.probe_requested || now >= self.heard_at + config.stale_after
    }

    /// Requests that run on it, as far as known.
    pub fn estimated_load(&self, config: &TableConfig) -> u32 {
        match config.count_own {
            true => self.other_load.saturating_add(self.in_flight),
            false => self.other_load,
        }
    }

    /// Whether it takes no more. Each of `routers` routers keeps its even part of the slots, so that
    /// one whose callers come late is not shut out; zero means that none is kept.
    pub fn is_full(&self, now: Millis, config: &TableConfig, routers: u32) -> bool {
        let slots = self.announcement.slots;
        let taken =
            self.estimated_load(config) >= slots && self.in_flight >= fair_share(slots, routers);
        taken || self.in_flight >= slots || self.breaker.is_paused(now)
    }

    /// Whether it takes work. `last_heard` is when any upstream was last heard of: where upstreams can't
    /// be asked, silence of all of them says nothing of one.
    pub fn availability(
        &self,
        now: Millis,
        last_heard: Millis,
        config: &TableConfig,
        routers: u32,
    ) -> Availability {
        let fresh = match config.heartbeat_only {
            true => last_heard,
            false => now,
        };
        if self.announcement.phase == Phase::Leaving {
            return Availability::Leaving;
        }
        let interval_over = self
            .last_probe
            .is_none_or(|at| now >= at + UNRESPONSIVE_INTERVAL);
        if self.unresponsive && !interval_over {
            return Availability::Unresponsive;
        }
        match self.breaker.state(now) {
            BreakerState::Open(until) => return Availability::Ejected { until },
            BreakerState::HalfOpen if self.in_flight > 0 => {
                return Availability::Ejected { until: now };
            }
            BreakerState::HalfOpen | BreakerState::Closed => {}
        }
        if self.unresponsive || self.is_stale(fresh, config) {
            return Availability::Stale;
        }
        match self.is_full(now, config, routers) {
            true => Availability::Full,
            false => Availability::Available,
        }
    }

    /// Whether it has to be asked now.
    pub fn needs_probe(&self, now: Millis, config: &TableConfig) -> bool {
        if self
            .unanswered_since
            .is_some_and(|at| now < at + PROBE_TIMEOUT)
        {
            return false;
        }
        if self.probe_requested {
            return true;
        }
        let interval = match self.unresponsive {
            true => UNRESPONSIVE_INTERVAL,
            false => PROBE_INTERVAL,
        };
        let interval_over = self.last_probe.is_none_or(|at| now >= at + interval);
        let closed = self.breaker.state(now) == BreakerState::Closed;
        let uncertain = self.unresponsive || self.is_stale(now, config) || !closed;
        interval_over && uncertain && self.announcement.phase == Phase::Ready
    }

    /// Notes that it is being asked.
    pub fn start_probe(&mut self, now: Millis) {
        self.last_probe = Some(now);
        match self.unanswered_since {
            Some(at) if now < at + PROBE_TIMEOUT => {}
            _ => self.unanswered_since = Some(now),
        }
    }
}

/// Even part of the slots, at least one; zero if the number of routers is not known.
pub(super) fn fair_share(slots: u32, routers: u32) -> u32 {
    match routers {
        0 => 0,
        _ => slots.div_ceil(routers),
    }
}
