//! Table of the upstreams that a router knows: discovery, choice, and accounting of attempts.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::evacuation::Evacuations;
use crate::id::DataCentre;
use crate::id::Fingerprint;
use crate::id::Host;
use crate::id::PromptPart;
use crate::id::Release;
use crate::id::Service;
use crate::id::Upstream;
use crate::map::Map;
use crate::map::Set;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::announce::Announcement;
use super::announce::Kind;
use super::announce::LoadReport;
use super::announce::Phase;
use super::assignment::Assignment;
use super::candidate::usable;
use super::choice::ChoiceContext;
use super::choice::SessionPlace;
use super::config::TableConfig;
use super::evidence::Evidence;
use super::evidence::Finding;
use super::evidence::Proof;
use super::evidence::Stage;
use super::evidence::Subject;
use super::headroom;
use super::headroom::Headroom;
use super::leave::LeaveBook;
use super::part_quarantine::PartQuarantine;
use super::part_quarantine::QuarantineChange;
use super::pool;
use super::quarantine::Crash;
use super::quarantine::Quarantine;
use super::quarantine::RequestState;
use super::rate::RateBook;
use super::release::ReleaseBook;
use super::row::Row;
use super::speed::ServiceSpeed;
use super::status::Pool;
use super::status::Probe;
use super::status::UpstreamStatus;

mod addresses;
mod evacuations;
mod leaves;
mod pauses;
mod rates;
mod releases;

pub use rates::LimitedUpstream;

/// Number of an attempt, unique at one router.
pub type AttemptId = u64;

/// What a request needs from an upstream.
#[derive(Clone, Debug)]
pub struct Criteria {
    /// Kind of upstream that can serve the request.
    pub kind: Kind,
    /// Priority of the request; higher goes first, at upstreams that are at their request rates.
    pub priority: u8,
    /// Hashes of the prompt's prefixes, shortest first; empty for services without prompts.
    pub prefixes: Vec<u64>,
    /// Number of tokens by which each prefix is longer than the one before. If given, the choice is
    /// by the expected wait, otherwise by load and cached share of the prompt.
    pub sizes: Vec<u64>,
    /// Index in `prefixes` of the prefix that identifies the session. All routers favour the same
    /// upstream for it without coordination.
    pub session_prefix: Option<usize>,
    /// Fingerprint of the request's body, for the crash quarantine.
    pub body: Fingerprint,
    /// Parts of the prompt that other requests may share, for the crash quarantine.
    pub parts: Vec<PromptPart>,
    /// Upstreams that are not chosen, because the request was already tried there.
    pub avoid: Vec<Upstream>,
    /// Software version at which a stream has to go on. Only upstreams known to run it are chosen.
    pub release: Option<Release>,
}

/// A chosen upstream. The attempt counts as in flight until [`Table::end`].
#[derive(Clone, Debug)]
pub struct Pick {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Chosen upstream.
    pub upstream: Upstream,
    /// Its latest known start.
    pub incarnation: Incarnation,
    /// Software version of that start, if known.
    pub release: Option<Release>,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Whether the caller has to probe the upstream first, and use it only if it is ready.
    pub needs_probe: bool,
    /// Number of upstreams that were passed over because they asked for a pause.
    pub paused: u32,
    /// Where the request's session is placed.
    pub place: SessionPlace,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChoiceError {
    /// No known upstream serves this kind of request, or none runs the software version at which it has
    /// to go on.
    #[error("no upstream serves this kind of request")]
    NoneKnown,
    /// All upstreams of the kind are leaving, unresponsive, ejected or to be avoided.
    #[error("no upstream of this kind is usable")]
    NoneUsable,
    /// All upstreams of the kind are in evacuated data centres.
    #[error("every data centre with upstreams of this kind is evacuated")]
    Evacuated,
    /// All usable upstreams are full.
    #[error("every usable upstream of this kind is full")]
    Full,
    /// All usable upstreams get as many requests as they take from the routers together.
    #[error("every usable upstream of this kind is at its request rate")]
    RateLimited {
        /// When the caller may retry, by the router's clock.
        until: Millis,
    },
    /// Every upstream that might take the request asked this router for a pause.
    #[error("every usable upstream of this kind asked for a pause")]
    Paused {
        /// When the caller may retry, by the router's clock.
        until: Millis,
    },
    /// The request or a part of its prompt crashed upstreams and is not run again.
    #[error("the request or a part of its prompt is quarantined")]
    Quarantined {
        /// When the quarantine ends, by the router's clock.
        until: Millis,
    },
    /// The request broke off at two upstreams, and probes have yet to show whether they crashed.
    #[error("the request broke off at two upstreams, which are being probed")]
    Unconfirmed {
        /// When the caller may retry, by the router's clock. The router itself does not retry.
        until: Millis,
    },
}

/// How an attempt ended, as far as it tells something of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The answer arrived completely.
    Completed,
    /// The upstream refused the request for overload.
    Overload,
    /// The connection could not be established.
    Unreachable,
    /// The connection broke, or the answer was malformed, after the request was sent.
    Broken,
    /// The answer that arrived was not one to this request.
    Unmatched,
    /// No answer arrived in time.
    TimedOut,
    /// The caller went away, or the attempt ended in another way that tells nothing of the
    /// upstream.
    Neutral,
}

/// Table of the upstreams that one router knows.
#[derive(Clone, Debug)]
pub struct Table {
    /// Data centre of the router.
    centre: DataCentre,
    /// Configuration; `max_prefixes` shrinks as the number of upstreams grows.
    config: TableConfig,
    /// `max_prefixes` as configured.
    prefix_limit: usize,
    /// Source of the random samples.
    rng: ChaCha8Rng,
    /// State of each known upstream.
    rows: Map<Upstream, Row>,
    /// Attempts that have not ended.
    active: Map<AttemptId, ActiveAttempt>,
    /// Number of the last attempt.
    last_attempt: AttemptId,
    /// Requests that crashed upstreams, or are suspected of it.
    quarantine: Quarantine,
    /// Prompt parts that crashed upstreams, or are suspected of it.
    parts: PartQuarantine,
    /// Rates that upstreams name.
    rates: RateBook,
    /// Software versions of upstreams.
    releases: ReleaseBook,
    /// Leaves of upstreams.
    leaves: LeaveBook,
    /// Evacuated data centres.
    evacuations: Evacuations,
    /// Speed of the upstreams of each kind that requests with known sizes need.
    speeds: Map<Kind, ServiceSpeed>,
    /// Services that the routes name; `None` if not known.
    services: Option<Set<Service>>,
    /// Assignment of upstreams to the routers of this data centre.
    assignment: Assignment,
    /// Number of routers that send requests to the same upstreams; 0 if not known.
    routers: u32,
    /// Number of announcements applied so far; a cursor for [`Table::announcements_for`].
    revision: u64,
    /// When an announcement of any upstream last arrived.
    last_heard: Millis,
}

/// An attempt that has not ended.
#[derive(Clone, Debug)]
struct ActiveAttempt {
    upstream: Upstream,
    incarnation: Incarnation,
    body: Fingerprint,
    /// When the attempt began.
    sent_at: Millis,
    /// Whether the request is suspected of an earlier crash.
    suspected: bool,
    /// Whether it was sent after a pause of the upstream, before another one was taken.
    is_trial: bool,
    /// Prompt tokens that the upstream has to process before the answer begins; 0 once it has
    /// begun.
    prefill: u64,
    /// Kind whose speed the attempt measures, and the prompt tokens that were to be processed before
    /// its first event when it began; `None` if the size of the request is not known.
    measured: Option<(Kind, u64)>,
    /// Parts of the prompt that other requests may share.
    parts: Vec<PromptPart>,
    /// When the head of a successful answer arrived.
    head_at: Option<Millis>,
    /// When the first events of the answer arrived.
    events_at: Option<Millis>,
}

impl ActiveAttempt {
    /// Returns what an answer that ends or breaks off now tells of the parts of the prompt.
    fn verdict(&self, now: Millis, is_complete: bool) -> PartVerdict {
        match (self.head_at, self.events_at) {
            (Some(begun), Some(at)) if is_complete || now >= at + PROOF_TIME => {
                PartVerdict::Sound { begun }
            }
            _ if is_complete => PartVerdict::Unknown,
            (Some(_), None) => PartVerdict::Suspected(Stage::Begun),
            _ => PartVerdict::Suspected(Stage::Waiting),
        }
    }
}

/// How a request is placed on the chosen upstream.
struct Placement {
    /// Whether the request is suspected of an earlier crash.
    suspected: bool,
    /// Whether the upstream has to be probed before.
    needs_probe: bool,
    /// Number of upstreams that were passed over because they asked for a pause.
    paused: u32,
    /// Prompt tokens that the upstream has to process.
    prefill: u64,
    /// Where the request's session is placed.
    place: SessionPlace,
}

/// What the end of an attempt tells of the parts of its prompt.
enum PartVerdict {
    /// An answer that began at this time shows that they do not crash upstreams.
    Sound { begun: Millis },
    /// The upstream may have crashed under them.
    Suspected(Stage),
    /// Nothing: the answer was an error, or had no events.
    Unknown,
}

/// Time after the first events from which on an answer shows that its prompt is sound. A crash
/// comes within some tenths of a second.
const PROOF_TIME: Millis = Millis(1_000);

/// Maximum number of probes sent at once.
const MAX_PROBES: usize = 32;

/// Usual maximum delay of a heartbeat. One that arrives now shows that its sender had not crashed
/// this long ago.
pub(super) const HEARTBEAT_LAG: Millis = Millis(2_000);
/// Maximum number of cache events of each kind taken from one announcement.
const MAX_CACHE_EVENTS: usize = 256;

impl Default for Table {
    fn default() -> Self {
        Self::new(DataCentre::from(""))
    }
}

impl Table {
    /// Returns an empty table with the default configuration for a router in this data centre.
    pub fn new(centre: DataCentre) -> Self {
        Self::with_config(centre, TableConfig::default(), 0)
    }

    /// Returns an empty table with this configuration. Routers need different seeds, so that they
    /// sample different upstreams.
    pub fn with_config(centre: DataCentre, config: TableConfig, seed: u64) -> Self {
        Self {
            centre,
            config,
            prefix_limit: config.max_prefixes,
            rng: ChaCha8Rng::seed_from_u64(seed),
            rows: Map::default(),
            active: Map::default(),
            last_attempt: 0,
            quarantine: Quarantine::default(),
            parts: PartQuarantine::new(config.evidence_ttl, seed),
            rates: RateBook::default(),
            releases: ReleaseBook::default(),
            leaves: LeaveBook::default(),
            evacuations: Evacuations::default(),
            speeds: Map::default(),
            services: None,
            assignment: Assignment::default(),
            routers: 0,
            revision: 0,
            last_heard: Millis::ZERO,
        }
    }

    /// Sets the routers of this data centre, this one included, to which upstreams are assigned.
    pub fn set_routers(&mut self, hosts: impl IntoIterator<Item = Host>) {
        self.assignment = Assignment::new(hosts);
    }

    /// Applies an announcement. Returns whether it changed the table and has to be passed on to
    /// other routers. One that no upstream can have sent, or with this router's own address, is
    /// ignored.
    pub fn observe(&mut self, now: Millis, mut announcement: Announcement) -> bool {
        let is_own = self.config.own_address == Some(announcement.address);
        if is_own || announcement.check().is_err() {
            return false;
        }
        announcement.cached.truncate(MAX_CACHE_EVENTS);
        announcement.evicted.truncate(MAX_CACHE_EVENTS);
        let upstream = announcement.upstream.clone();
        let incarnation = announcement.incarnation;
        let known = self
            .rows
            .get(&upstream)
            .map(|row| row.announcement.incarnation);
        let address = announcement.address;
        let announcement = self.apply_leave(now, announcement);
        if !self.store(now, announcement) {
            return false;
        }
        self.last_heard = self.last_heard.max(now);
        self.take_over(address);
        self.revision += 1;
        if let Some(row) = self.rows.get_mut(&upstream) {
            row.revision = self.revision;
            row.evacuated = self.evacuations.contains(&row.announcement.centre);
            row.held_until = self.leaves.held_until(now, &upstream, incarnation);
        }
        // An upstream whose address is in use again has ended, so its heartbeat is a late one.
        let row = self.rows.get(&upstream);
        let is_ready = row.is_some_and(|row| !row.is_leaving(now));
        if self.config.heartbeat_only && known == Some(incarnation) && is_ready {
            let sent = now.saturating_sub(HEARTBEAT_LAG);
            self.quarantine.refute(&upstream, incarnation, sent);
            self.parts.refute(now, &upstream, incarnation, sent);
            self.releases.confirm(now, &upstream, incarnation);
        }
        if known != Some(incarnation)
            && let Some(last) = incarnation.0.checked_sub(1)
        {
            self.quarantine
                .confirm_crashes(&upstream, Incarnation(last));
        }
        true
    }

    /// Applies the load that an upstream reported with an answer.
    pub fn update_load(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        report: impl Into<LoadReport>,
    ) {
        if let Some(row) = self.rows.get_mut(upstream)
            && row.announcement.incarnation == incarnation
        {
            row.record_load(now, report.into(), &self.config);
        }
    }

    /// Returns how long ago an attempt began that has not ended; zero if it has.
    pub fn attempt_age(&self, now: Millis, attempt: AttemptId) -> Millis {
        let active = self.active.get(&attempt);
        active.map_or(Millis::ZERO, |active| now.saturating_sub(active.sent_at))
    }

    /// Records that the head of a successful answer to an attempt has arrived.
    pub fn record_answer_head(&mut self, now: Millis, attempt: AttemptId) {
        let Some(active) = self.active.get_mut(&attempt) else {
            return;
        };
        active.head_at = Some(now);
        if let Some(row) = self.rows.get_mut(&active.upstream)
            && row.announcement.incarnation == active.incarnation
        {
            row.pause.record_taken(active.sent_at);
        }
    }

    /// Records that the first events of the answer to an attempt have arrived, so that its prompt
    /// has been processed.
    pub fn record_answer_start(&mut self, now: Millis, attempt: AttemptId) {
        let Some(active) = self.active.get_mut(&attempt) else {
            return;
        };
        active.events_at = Some(now);
        let processed = std::mem::take(&mut active.prefill);
        if let Some(row) = self.rows.get_mut(&active.upstream)
            && row.announcement.incarnation == active.incarnation
        {
            row.pending_prefill = row.pending_prefill.saturating_sub(processed);
            if let Some((kind, tokens)) = &active.measured {
                let service = self.speeds.entry(kind.clone()).or_default();
                let delay = now.saturating_sub(active.sent_at).0;
                row.speed.record(now, service, *tokens, delay);
            }
        }
    }

    /// Applies an announcement to its row, or adds a row. Returns whether the table changed.
    fn store(&mut self, now: Millis, announcement: Announcement) -> bool {
        if let Some(row) = self.rows.get_mut(&announcement.upstream) {
            return row.observe(now, announcement, &self.config);
        }
        if self.rows.len() >= self.config.max_upstreams && !self.evict(now) {
            return false;
        }
        let row = Row::new(now, announcement, &self.config);
        self.rows.insert(row.announcement.upstream.clone(), row);
        self.config.max_prefixes = self
            .prefix_limit
            .min(self.config.total_prefixes / self.rows.len());
        true
    }

    /// Removes the stale, idle upstream that was not heard of for the longest time. Returns whether
    /// there was one.
    fn evict(&mut self, now: Millis) -> bool {
        let oldest = self
            .rows
            .values()
            .filter(|row| row.is_stale(now, &self.config) && row.in_flight == 0)
            .min_by_key(|row| (row.heard_at, &row.announcement.upstream))
            .map(|row| row.announcement.upstream.clone());
        oldest.is_some_and(|upstream| self.rows.remove(&upstream).is_some())
    }

    /// Chooses an upstream and starts an attempt, which must be ended by [`Table::end`].
    ///
    /// # Errors
    ///
    /// Returns why no upstream was chosen.
    pub fn choose(&mut self, now: Millis, criteria: &Criteria) -> Result<Pick, ChoiceError> {
        if let Some(until) = self.parts.until(now, &criteria.parts) {
            return Err(ChoiceError::Quarantined { until });
        }
        let suspected = self.admit(now, &criteria.body)?;
        let context = ChoiceContext {
            now,
            config: &self.config,
            centre: &self.centre,
            criteria,
            routers: self.routers,
            suspected,
            last_heard: self.last_heard,
            releases: &self.releases,
            speed: self.speeds.get(&criteria.kind),
        };
        let usable = match usable(&self.rows, &context, Some(&self.rates)) {
            Err(ChoiceError::RateLimited { .. }) => return Err(self.turn_away(now, criteria)),
            Err(ChoiceError::Paused { until }) => return Err(self.defer(now, until)),
            found => found?,
        };
        let chosen = context
            .choose(&usable.rows, &mut self.rng)
            .ok_or(ChoiceError::NoneUsable)?;
        let upstream = usable.rows[chosen.index].announcement.upstream.clone();
        let placement = Placement {
            suspected,
            needs_probe: usable.needs_probe,
            paused: usable.paused,
            prefill: chosen.uncached,
            place: chosen.place,
        };
        self.start_attempt(now, upstream, criteria, placement)
            .ok_or(ChoiceError::NoneUsable)
    }

    /// Returns whether the request broke off once, so that it may run only once more.
    pub fn is_suspected(&self, body: &Fingerprint) -> bool {
        let state = self.quarantine.state(body, self.config.evidence_ttl);
        state == RequestState::Suspected
    }

    /// Returns whether the request is suspected of an earlier crash, or an error if it must not
    /// run.
    fn admit(&self, now: Millis, body: &Fingerprint) -> Result<bool, ChoiceError> {
        if self.config.heartbeat_only {
            let (breaks, last) = self.quarantine.break_count(body);
            let until = last + self.config.evidence_ttl;
            return match breaks >= self.config.break_limit && now < until {
                true => Err(ChoiceError::Quarantined { until }),
                false => Ok(breaks > 0),
            };
        }
        match self.quarantine.state(body, self.config.evidence_ttl) {
            RequestState::Clear => Ok(false),
            RequestState::Suspected => Ok(true),
            RequestState::Unconfirmed => Err(ChoiceError::Unconfirmed {
                until: now + self.config.settle_delay,
            }),
            RequestState::Quarantined { until } => Err(ChoiceError::Quarantined { until }),
        }
    }

    /// Records the start of an attempt at a chosen upstream.
    fn start_attempt(
        &mut self,
        now: Millis,
        upstream: Upstream,
        criteria: &Criteria,
        placement: Placement,
    ) -> Option<Pick> {
        let Placement {
            suspected,
            needs_probe,
            paused,
            prefill,
            place,
        } = placement;
        let row = self.rows.get_mut(&upstream)?;
        row.in_flight += 1;
        row.pending_prefill = row.pending_prefill.saturating_add(prefill);
        row.suspected += u32::from(suspected);
        let measured =
            (!criteria.sizes.is_empty()).then(|| (criteria.kind.clone(), row.pending_prefill));
        let is_trial = row.pause.begin_attempt();
        row.prefix_cache
            .record_routed(now, &criteria.prefixes, &self.config);
        if needs_probe {
            row.start_probe(now);
        }
        let incarnation = row.announcement.incarnation;
        self.rates
            .take(now, &upstream, incarnation, criteria.priority);
        self.last_attempt += 1;
        let active = ActiveAttempt {
            upstream: upstream.clone(),
            incarnation: row.announcement.incarnation,
            body: criteria.body,
            sent_at: now,
            suspected,
            is_trial,
            prefill,
            measured,
            parts: criteria.parts.clone(),
            head_at: None,
            events_at: None,
        };
        self.active.insert(self.last_attempt, active);
        Some(Pick {
            attempt: self.last_attempt,
            incarnation,
            release: self.releases.get(&upstream, incarnation).cloned(),
            address: row.announcement.address,
            upstream,
            needs_probe,
            paused,
            place,
        })
    }

    /// Records the end of an attempt. Does nothing if it has ended before.
    pub fn end(&mut self, now: Millis, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(active) = self.active.remove(&attempt) else {
            return;
        };
        self.record_evidence(now, &active, outcome);
        let Some(row) = self.rows.get_mut(&active.upstream) else {
            return;
        };
        if row.announcement.incarnation != active.incarnation {
            return;
        }
        row.in_flight = row.in_flight.saturating_sub(1);
        row.pending_prefill = row.pending_prefill.saturating_sub(active.prefill);
        row.suspected = row.suspected.saturating_sub(u32::from(active.suspected));
        if active.is_trial {
            row.pause.end_trial();
        }
        match outcome {
            AttemptOutcome::Completed => {
                if let Some((kind, _)) = &active.measured {
                    let duration = now.saturating_sub(active.sent_at).0;
                    let service = self.speeds.entry(kind.clone()).or_default();
                    service.record_duration(duration);
                }
                row.pause.record_taken(active.sent_at);
                row.record_success(now);
            }
            AttemptOutcome::Overload => {
                let measured = active.measured.as_ref();
                let speed = measured.and_then(|(kind, _)| self.speeds.get(kind));
                let duration = speed.and_then(ServiceSpeed::duration);
                row.record_overload(now, duration, &self.config);
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Broken => {
                row.probe_requested = true;
                row.breaker.record_fault(now, &self.config);
                if outcome == AttemptOutcome::Unreachable && self.config.heartbeat_only {
                    row.unresponsive = true;
                    row.last_probe = Some(now);
                }
            }
            AttemptOutcome::Unmatched => {
                row.breaker.record_fault(now, &self.config);
            }
            AttemptOutcome::TimedOut => {
                row.breaker.record_timeout(now, &self.config);
            }
            AttemptOutcome::Neutral => {}
        }
    }

    /// Updates the crash evidence against the request of an ended attempt.
    fn record_evidence(&mut self, now: Millis, active: &ActiveAttempt, outcome: AttemptOutcome) {
        let is_complete = outcome == AttemptOutcome::Completed;
        if is_complete || outcome == AttemptOutcome::Broken {
            match active.verdict(now, is_complete) {
                PartVerdict::Sound { begun } => self.parts.record_sound(now, &active.parts, begun),
                PartVerdict::Suspected(stage) => {
                    let place = (&active.upstream, active.incarnation);
                    let sent = active.sent_at;
                    self.parts
                        .record_break(now, &active.parts, place, sent, stage);
                }
                PartVerdict::Unknown => {}
            }
        }
        let crash = Crash {
            body: active.body,
            upstream: active.upstream.clone(),
            incarnation: active.incarnation,
        };
        match outcome {
            AttemptOutcome::Completed => self.quarantine.forget_request(&active.body),
            AttemptOutcome::Broken if self.config.heartbeat_only => {
                self.quarantine.record_crash(now, crash)
            }
            AttemptOutcome::Broken => {
                self.quarantine.record_break(now, crash);
                if self.has_restarted(&active.upstream, active.incarnation) {
                    self.quarantine
                        .confirm_crashes(&active.upstream, active.incarnation);
                }
            }
            AttemptOutcome::Unreachable => self
                .quarantine
                .confirm_crashes(&active.upstream, active.incarnation),
            AttemptOutcome::Overload
            | AttemptOutcome::Unmatched
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Neutral => {}
        }
    }

    /// Returns whether a later start of the upstream is known.
    fn has_restarted(&self, upstream: &Upstream, incarnation: Incarnation) -> bool {
        self.rows
            .get(upstream)
            .is_some_and(|row| row.announcement.incarnation > incarnation)
    }

    /// Records the result of a probe of an upstream with this incarnation; `None` if no answer
    /// came.
    pub fn record_probe(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        announcement: Option<Announcement>,
    ) {
        let sent = self
            .rows
            .get_mut(upstream)
            .and_then(|row| row.unanswered_since.take());
        // Another upstream may have taken over the address.
        let own = announcement
            .as_ref()
            .filter(|announcement| announcement.upstream == *upstream);
        let found = own.map(|announcement| announcement.incarnation);
        if let Some(announcement) = announcement {
            self.observe(now, announcement);
        }
        let Some(found) = found else {
            self.mark_unresponsive(upstream, incarnation);
            return;
        };
        if let Some(row) = self.rows.get_mut(upstream)
            && row.announcement.incarnation == found
        {
            row.record_probe_answer(now);
        }
        if let Some(sent) = sent {
            self.quarantine.refute(upstream, found, sent);
            self.parts.refute(now, upstream, found, sent);
        }
    }

    /// Records that a probe of this incarnation was not answered.
    fn mark_unresponsive(&mut self, upstream: &Upstream, incarnation: Incarnation) {
        if let Some(row) = self.rows.get_mut(upstream)
            && row.announcement.incarnation == incarnation
        {
            row.unresponsive = true;
            row.probe_requested = false;
        }
        self.quarantine.confirm_crashes(upstream, incarnation);
    }

    /// Applies another router's evidence that a request crashed an upstream. Returns whether it was
    /// new and has to be passed on.
    pub fn observe_crash(
        &mut self,
        now: Millis,
        body: Fingerprint,
        upstream: &Upstream,
        incarnation: Incarnation,
    ) -> bool {
        let crash = Crash {
            body,
            upstream: upstream.clone(),
            incarnation,
        };
        let is_new = self.quarantine.record_remote_crash(now, crash);
        if let Some(row) = self.rows.get_mut(upstream) {
            // A probe is sent because an answer of the same incarnation would refute the evidence.
            row.probe_requested |= is_new && row.announcement.incarnation == incarnation;
        }
        is_new
    }

    /// Moves the crash evidence that this router found since the last call to `out`.
    pub fn drain_crashes(&mut self, out: &mut Vec<Crash>) {
        self.quarantine.drain_outbox(out);
    }

    /// Applies evidence of another router. Returns whether it was new and has to be passed on.
    pub fn observe_evidence(&mut self, now: Millis, evidence: &Evidence) -> bool {
        let at = now.saturating_sub(evidence.age);
        if self.was_heard_since(&evidence.upstream, evidence.incarnation, at) {
            return false;
        }
        match evidence.subject {
            Subject::Part(part) => self.parts.observe(now, part, evidence),
            Subject::Request(body) => {
                let crash = Crash {
                    body,
                    upstream: evidence.upstream.clone(),
                    incarnation: evidence.incarnation,
                };
                self.quarantine.record_resent_crash(at, crash)
            }
        }
    }

    /// With `heartbeat_only`, returns whether a heartbeat shows that an upstream ran on after this
    /// time.
    fn was_heard_since(&self, upstream: &Upstream, incarnation: Incarnation, at: Millis) -> bool {
        self.config.heartbeat_only
            && self.rows.get(upstream).is_some_and(|row| {
                row.announcement.incarnation == incarnation
                    && row.announcement.phase == Phase::Ready
                    && !row.displaced
                    && row.heard_at >= at + HEARTBEAT_LAG
            })
    }

    /// Applies another router's proof that a prompt part is sound. Returns whether it removed
    /// evidence and has to be passed on.
    pub fn observe_proof(&mut self, now: Millis, proof: &Proof) -> bool {
        self.parts.observe_sound(now, proof)
    }

    /// Returns what routers that missed it have to know of requests and prompt parts that crash
    /// upstreams.
    pub fn known_findings(&self, now: Millis) -> Vec<Finding> {
        let requests = self.quarantine.evidence(now, self.config.break_limit);
        let mut found: Vec<Finding> = requests.map(Finding::Evidence).collect();
        found.extend(self.parts.known_findings(now));
        found
    }

    /// Moves what this router found out about prompt parts since the last call to `out`.
    pub fn drain_findings(&mut self, out: &mut Vec<Finding>) {
        self.parts.drain_outbox(out);
    }

    /// Returns the prompt parts that were quarantined or released since the last call.
    pub fn take_part_changes(&mut self) -> Vec<QuarantineChange> {
        self.parts.take_changes()
    }

    /// Returns how much crash evidence was removed since the last call, because an answer or a
    /// heartbeat spoke against it.
    pub fn take_removed_evidence(&mut self) -> u64 {
        self.quarantine.take_removed() + self.parts.take_dismissed()
    }

    /// Returns the probes to send now. Their results go to [`Table::record_probe`].
    pub fn due_probes(&mut self, now: Millis) -> Vec<Probe> {
        let config = &self.config;
        self.rows
            .values_mut()
            .filter(|row| row.needs_probe(now, config))
            .take(MAX_PROBES)
            .map(|row| {
                row.start_probe(now);
                Probe {
                    upstream: row.announcement.upstream.clone(),
                    incarnation: row.announcement.incarnation,
                    address: row.announcement.address,
                }
            })
            .collect()
    }

    /// Removes expired entries. To be called about every second.
    pub fn tick(&mut self, now: Millis) {
        let forget = self.config.forget_after;
        if self.config.heartbeat_only {
            self.rows.values_mut().for_each(|row| row.expire_load(now));
        }
        self.rows
            .retain(|_, row| now < row.heard_at + forget || row.in_flight > 0);
        self.quarantine.expire(now, self.config.evidence_ttl);
        self.parts.expire(now);
        self.leaves.expire(now);
        let rows = &self.rows;
        self.speeds
            .retain(|kind, _| rows.values().any(|row| row.offers(kind)));
        self.rates.retain(|upstream| rows.contains_key(upstream));
        let oldest = now.saturating_sub(forget);
        self.releases
            .retain(oldest, |upstream| rows.contains_key(upstream));
    }

    /// Returns the state of each known upstream, for `status` and metrics.
    pub fn statuses(&self, now: Millis) -> impl Iterator<Item = UpstreamStatus> {
        self.rows.values().map(move |row| UpstreamStatus {
            upstream: row.announcement.upstream.clone(),
            incarnation: row.announcement.incarnation,
            centre: row.announcement.centre.clone(),
            availability: row.availability(now, self.last_heard, &self.config, self.routers),
            in_flight: row.in_flight,
            load: row.announcement.load,
            slots: row.announcement.slots,
        })
    }

    /// Returns how many requests this router may run at once, by the kinds that share upstreams.
    ///
    /// `routers` is the number of routers that send requests to the same upstreams. Each keeps its
    /// fair share of the slots, in later choices as well.
    pub fn pools(&mut self, now: Millis, routers: u32) -> Vec<Pool> {
        self.routers = routers;
        pool::pools(self.rows.values(), now, &self.config, routers)
    }

    /// Returns how many more attempts of this router the upstreams of a kind take now.
    pub fn headroom(&self, now: Millis, kind: &Kind) -> Headroom {
        let rows = self.rows.values().filter(|row| row.offers(kind));
        let rows = rows.map(|row| {
            let last_heard = self.last_heard;
            (
                row,
                row.availability(now, last_heard, &self.config, self.routers),
            )
        });
        headroom::headroom(rows, now)
    }

    /// Returns the next cursor and the announcements to send to `peer`: those that changed after
    /// `cursor`, of the upstreams assigned to it.
    ///
    /// A leaving phase goes to every peer, and so does everything while there are few upstreams.
    pub fn announcements_for(&self, peer: &Host, cursor: u64) -> (u64, Vec<&Announcement>) {
        let all = self.rows.len() <= self.config.full_limit;
        let changed = self
            .rows
            .values()
            .filter(|row| row.revision > cursor)
            .filter(|row| {
                all || row.announcement.phase == Phase::Leaving
                    || self
                        .assignment
                        .assigns(peer, &row.announcement.upstream, self.config.copies)
            })
            .map(|row| &row.announcement)
            .collect();
        (self.revision, changed)
    }

    /// Returns the announcements that gossip resends to nodes that missed them.
    ///
    /// Those not renewed for half of [`TableConfig::forget_after`] are left out. Otherwise a node
    /// that has removed an upstream would get it back from one that removes it later, for ever.
    pub fn resent_announcements(&self, now: Millis) -> impl Iterator<Item = &Announcement> {
        let lifetime = Millis(self.config.forget_after.0 / 2);
        let rows = self.rows.values();
        rows.filter(move |row| now < row.heard_at + lifetime)
            .map(|row| &row.announcement)
    }

    /// Returns the latest announcement of each upstream.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.rows.values().map(|row| &row.announcement)
    }
}
