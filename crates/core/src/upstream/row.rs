//! State of one upstream in a router's table.

use crate::unit::Millis;

use super::announce::Announcement;
use super::announce::Kind;
use super::announce::LoadReport;
use super::announce::Offer;
use super::announce::Phase;
use super::breaker::Breaker;
use super::breaker::State;
use super::config::TableConfig;
use super::headroom::OverloadLimit;
use super::pause::Pause;
use super::prefix::PrefixCache;
use super::speed::UpstreamSpeed;
use super::status::Availability;
use super::version::Version;

/// State of one upstream in a router's table.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// Announcement of the greatest version received.
    pub announcement: Announcement,
    /// Whether a later start has taken over its address.
    pub displaced: bool,
    /// Until when the upstream is not used, as it may have left.
    pub held_until: Option<Millis>,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// When `announcement` or the last answer to a probe was received.
    pub heard_at: Millis,
    /// Whether a second announcement or a probe has confirmed the incarnation. Until then, its
    /// first announcement may be an old one that was delayed.
    pub confirmed: bool,
    /// When the first probe was sent that has not been answered yet.
    pub unanswered_since: Option<Millis>,
    /// When the last probe was sent, or, with `heartbeat_only`, the last connection failed.
    pub last_probe: Option<Millis>,
    /// Whether a fault of an attempt or crash evidence of another router calls for a probe.
    pub probe_requested: bool,
    /// Whether the last probe was not answered. Unless `heartbeat_only` is set, announcements of
    /// the same incarnation do not reset this: other routers pass them on, and this router alone
    /// may be cut off from the upstream.
    pub unresponsive: bool,
    /// Number of this router's attempts that run on the upstream.
    pub in_flight: u32,
    /// Reported requests, less this router's own if `count_own` is set.
    pub other_load: u32,
    /// When `other_load` was reported.
    pub reported_at: Millis,
    /// Prompt tokens of this router's attempts whose answers have not begun.
    pub pending_prefill: u64,
    /// Number of this router's attempts whose request is suspected of an earlier crash.
    pub suspected: u32,
    /// Circuit breaker for faults of this router's attempts.
    pub breaker: Breaker,
    /// Limit of this router's attempts after a refusal for overload.
    pub overload: OverloadLimit,
    /// Pause that the upstream asked this router for.
    pub pause: Pause,
    /// Prompt prefixes that the upstream likely has cached.
    pub prefix_cache: PrefixCache,
    /// Speed as measured by this router's attempts and as told with their answers.
    pub speed: UpstreamSpeed,
    /// When a load last came with an answer.
    pub told_at: Option<Millis>,
    /// Revision of the table at which `announcement` last changed.
    pub revision: u64,
}

/// How long a load that came with an answer is used: about as long as a request waits in a queue.
const LOAD_TTL: Millis = Millis(1_000);
/// Least time from a refusal for overload until another attempt is allowed in any case.
const MIN_REOPENING: Millis = Millis(25);
/// Time after which a probe without any result is given up and another one may be sent.
const PROBE_TIMEOUT: Millis = Millis(30_000);
/// Minimum time between two probes of an upstream.
const PROBE_INTERVAL: Millis = Millis(1_000);
/// Minimum time between two probes of an unresponsive upstream, and time for which it is not used.
const UNRESPONSIVE_INTERVAL: Millis = Millis(2_000);

impl Row {
    /// Returns the state of an upstream of which this is the first announcement.
    pub fn new(now: Millis, announcement: Announcement, config: &TableConfig) -> Self {
        let mut row = Self {
            announcement,
            displaced: false,
            held_until: None,
            evacuated: false,
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
            overload: OverloadLimit::default(),
            pause: Pause::default(),
            prefix_cache: PrefixCache::default(),
            speed: UpstreamSpeed::default(),
            told_at: None,
            revision: 0,
        };
        row.apply_load(now, config);
        row
    }

    /// Applies an announcement. Returns whether it supersedes the known one.
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
            // Heartbeats carry no load, so the load that came with the last answer is kept.
            self.announcement.load = load;
            self.unresponsive = false;
            return true;
        }
        self.apply_load(now, config);
        true
    }

    /// Resets what belongs to the previous incarnation.
    fn reset(&mut self) {
        self.confirmed = false;
        self.displaced = false;
        self.unresponsive = false;
        self.probe_requested = false;
        self.in_flight = 0;
        self.pending_prefill = 0;
        self.suspected = 0;
        self.breaker = Breaker::default();
        self.overload = OverloadLimit::default();
        self.pause = Pause::default();
        self.prefix_cache.clear();
        self.speed = UpstreamSpeed::default();
        self.told_at = None;
    }

    /// Applies a load that came with an answer.
    pub fn record_load(&mut self, now: Millis, report: LoadReport, config: &TableConfig) {
        self.announcement.load = report.load;
        self.told_at = Some(now);
        self.apply_load(now, config);
        if let Some(percent) = report.work_percent {
            self.speed.record_told(now, percent);
        }
    }

    /// Returns the number of requests of other routers, if an answer told it lately.
    pub fn told_load(&self, now: Millis) -> Option<u32> {
        let is_fresh = self.told_at.is_some_and(|at| now < at + LOAD_TTL);
        is_fresh.then_some(self.other_load)
    }

    /// Drops a reported load that is older than [`LOAD_TTL`].
    pub fn expire_load(&mut self, now: Millis) {
        if now >= self.reported_at + LOAD_TTL {
            self.other_load = 0;
        }
    }

    /// Applies the load and cache events of the current announcement.
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

    /// Records an answer to a probe by the known incarnation.
    pub fn record_probe_answer(&mut self, now: Millis) {
        self.heard_at = now;
        self.confirmed = true;
        self.unresponsive = false;
        self.probe_requested = false;
        self.breaker.record_success(now);
    }

    /// Records a complete answer to a request. The upstream stays stale if it was: the answer
    /// doesn't show whether the upstream is leaving, or whether it crashed after the last byte.
    pub fn record_success(&mut self, now: Millis) {
        self.unresponsive = false;
        self.overload.record_success(now);
        self.breaker.record_success(now);
    }

    /// Records a refusal for overload. `duration` is the average duration of an attempt, in
    /// milliseconds, if it is known.
    pub fn record_overload(&mut self, now: Millis, duration: Option<f64>, config: &TableConfig) {
        self.breaker.record_overload(now, config);
        let most = config.overload_backoff;
        let least = duration.map_or(most, |duration| Millis(duration as u64).max(MIN_REOPENING));
        let pause = (least.min(most), most);
        self.overload.record_overload(now, self.in_flight, pause);
    }

    /// Returns whether the upstream has refused for overload and has as many of this router's
    /// attempts as it took then.
    pub fn is_at_limit(&self, now: Millis) -> bool {
        let limit = self.overload.limit(now);
        limit.is_some_and(|limit| self.in_flight >= limit)
    }

    /// Returns whether the upstream has left, or may have.
    pub fn is_leaving(&self, now: Millis) -> bool {
        self.announcement.phase == Phase::Leaving
            || self.displaced
            || self.held_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream serves this kind of request.
    pub fn offers(&self, kind: &Kind) -> bool {
        match (&self.announcement.offer, kind) {
            (Offer::Models(models), Kind::Model(model, adapter)) => models
                .iter()
                .any(|loaded| loaded.model == *model && loaded.adapter == *adapter),
            (Offer::Service(offered), Kind::Service(service)) => offered == service,
            _ => false,
        }
    }

    /// Returns whether the upstream has to be probed before use: it was not heard of lately, or
    /// there is reason to doubt its state.
    pub fn is_stale(&self, now: Millis, config: &TableConfig) -> bool {
        if config.heartbeat_only {
            return now >= self.heard_at + config.stale_after;
        }
        !self.confirmed || self.probe_requested || now >= self.heard_at + config.stale_after
    }

    /// Number of requests that run on the upstream, as far as the router knows.
    pub fn estimated_load(&self, config: &TableConfig) -> u32 {
        match config.count_own {
            true => self.other_load.saturating_add(self.in_flight),
            false => self.other_load,
        }
    }

    /// Returns whether the upstream takes no more requests of this router.
    ///
    /// Each of the `routers` routers may use its fair share of the slots even if the others have
    /// taken the rest, so that a router whose callers come late is not shut out. With 0 routers no
    /// share is kept.
    pub fn is_full(&self, now: Millis, config: &TableConfig, routers: u32) -> bool {
        let slots = self.announcement.slots;
        let taken =
            self.estimated_load(config) >= slots && self.in_flight >= fair_share(slots, routers);
        taken
            || self.in_flight >= slots
            || self.breaker.is_backing_off(now)
            || self.pause.is_tried()
    }

    /// Returns whether the upstream may be used, or why not.
    ///
    /// `last_heard` is when an announcement of any upstream last arrived. With `heartbeat_only`,
    /// staleness is measured against it: if all upstreams fall silent at once, the fault is not
    /// theirs.
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
        if self.is_leaving(now) {
            return Availability::Leaving;
        }
        if self.evacuated {
            return Availability::Evacuated;
        }
        if let Some(until) = self.pause.active_until(now) {
            return Availability::Paused { until };
        }
        let interval_over = self
            .last_probe
            .is_none_or(|at| now >= at + UNRESPONSIVE_INTERVAL);
        if self.unresponsive && !interval_over {
            return Availability::Unresponsive;
        }
        match self.breaker.state(now) {
            State::Open(until) => return Availability::Ejected { until },
            State::HalfOpen if self.in_flight > 0 => return Availability::Ejected { until: now },
            State::HalfOpen | State::Closed => {}
        }
        if self.unresponsive || self.is_stale(fresh, config) {
            return Availability::Stale;
        }
        match self.is_full(now, config, routers) {
            true => Availability::Full,
            false => Availability::Available,
        }
    }

    /// Returns whether a probe has to be sent now.
    pub fn needs_probe(&self, now: Millis, config: &TableConfig) -> bool {
        if self.pause.active_until(now).is_some() {
            return false;
        }
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
        let closed = self.breaker.state(now) == State::Closed;
        let uncertain = self.unresponsive || self.is_stale(now, config) || !closed;
        interval_over && uncertain && !self.is_leaving(now)
    }

    /// Records that a probe is sent now.
    pub fn start_probe(&mut self, now: Millis) {
        self.last_probe = Some(now);
        match self.unanswered_since {
            Some(at) if now < at + PROBE_TIMEOUT => {}
            _ => self.unanswered_since = Some(now),
        }
    }
}

/// Returns a router's equal share of the slots, rounded up; 0 if the number of routers is not
/// known.
pub(super) fn fair_share(slots: u32, routers: u32) -> u32 {
    match routers {
        0 => 0,
        _ => slots.div_ceil(routers),
    }
}
