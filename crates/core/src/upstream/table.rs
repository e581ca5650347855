//! The upstreams that a router knows, and the choice among them.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::id::DataCentre;
use crate::id::Fingerprint;
use crate::id::Host;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::announce::Announcement;
use super::announce::Kind;
use super::announce::Load;
use super::announce::Phase;
use super::assignment::Assignment;
use super::candidate::usable;
use super::choice::ChoiceContext;
use super::config::TableConfig;
use super::pool;
use super::quarantine::Crash;
use super::quarantine::Quarantine;
use super::quarantine::RequestState;
use super::row::Row;
use super::status::Pool;
use super::status::Probe;
use super::status::UpstreamStatus;

/// Number of one attempt at one router.
pub type AttemptId = u64;

/// What a request needs from an upstream.
#[derive(Clone, Debug)]
pub struct Criteria {
    /// The kind of upstream.
    pub kind: Kind,
    /// Precedence; higher goes first.
    pub priority: u8,
    /// Hashes of the prompt's prefixes, shortest first; empty for plain services.
    pub prefixes: Vec<u64>,
    /// Tokens by which each prefix is longer than the one before. With it, the choice is by the
    /// expected wait; without, by load and cached share.
    pub sizes: Vec<u64>,
    /// Number of the prefix, from zero, by which all routers agree on an upstream without a word.
    pub session_prefix: Option<usize>,
    /// Body, for the crash quarantine.
    pub body: Fingerprint,
    /// Upstreams already tried.
    pub avoid: Vec<Upstream>,
}

/// A chosen upstream. The attempt is counted until [`Table::end`].
#[derive(Clone, Debug)]
pub struct Pick {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Which upstream.
    pub upstream: Upstream,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Where to connect.
    pub address: SocketAddr,
    /// Whether it has to be asked for its phase before this use.
    pub ask: bool,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChoiceError {
    /// None offers what is wanted.
    #[error("no upstream offers it")]
    NoneKnown,
    /// All that offer it are leaving, stale, ejected or were tried.
    #[error("no upstream that offers it is usable")]
    NoneUsable,
    /// All usable ones are full.
    #[error("every upstream that offers it is full")]
    Full,
    /// The request crashed upstreams before and is not run again.
    #[error("the request is in quarantine")]
    Quarantined {
        /// When the quarantine ends, by the router's clock.
        until: Millis,
    },
    /// The request broke off at two upstreams, and whether they crashed is being asked.
    #[error("the request broke off twice and its upstreams are being asked")]
    Unconfirmed {
        /// When to try again, by the router's clock; the answer to the caller is final.
        until: Millis,
    },
}

/// How an attempt ended, as far as the upstream's standing is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Completed,
    /// Refused for overload.
    Overload,
    /// The connection was not made.
    Unreachable,
    /// The connection broke, or the answer made no sense, after it was sent.
    Broken,
    /// No answer in time.
    TimedOut,
    /// The caller went away, or another end that says nothing of the upstream.
    Neutral,
}

/// The upstreams that one router knows.
#[derive(Clone, Debug)]
pub struct Table {
    centre: DataCentre,
    config: TableConfig,
    prefix_limit: usize,
    rng: ChaCha8Rng,
    rows: Map<Upstream, Row>,
    active: Map<AttemptId, ActiveAttempt>,
    last_attempt: AttemptId,
    quarantine: Quarantine,
    assignment: Assignment,
    routers: u32,
    revision: u64,
    /// When any upstream was last heard of.
    last_heard: Millis,
}

#[derive(Clone, Debug)]
struct ActiveAttempt {
    upstream: Upstream,
    incarnation: Incarnation,
    body: Fingerprint,
    suspected: bool,
    /// Prompt tokens to be read before the answer begins.
    prefill: u64,
}

const MAX_PROBES: usize = 32;

/// How late a heartbeat arrives at most, as a rule: a later one shows that its sender did not crash
/// before.
const HEARTBEAT_LAG: Millis = Millis(2_000);
const MAX_CACHE_EVENTS: usize = 256;

impl Default for Table {
    fn default() -> Self {
        Self::new(DataCentre::from(""))
    }
}

impl Table {
    /// An empty table of a router in a data centre.
    pub fn new(centre: DataCentre) -> Self {
        Self::with_config(centre, TableConfig::default(), 0)
    }

    /// An empty table with settings and a seed. Routers need different seeds.
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
            assignment: Assignment::default(),
            routers: 0,
            revision: 0,
            last_heard: Millis::ZERO,
        }
    }

    /// Names the routers of this data centre, this one included.
    pub fn set_routers(&mut self, hosts: impl IntoIterator<Item = Host>) {
        self.assignment = Assignment::new(hosts);
    }

    /// Takes in an announcement. Returns whether it was news, and so has to be spread.
    pub fn observe(&mut self, now: Millis, mut announcement: Announcement) -> bool {
        announcement.cached.truncate(MAX_CACHE_EVENTS);
        announcement.evicted.truncate(MAX_CACHE_EVENTS);
        let upstream = announcement.upstream.clone();
        let incarnation = announcement.incarnation;
        let known = self
            .rows
            .get(&upstream)
            .map(|row| row.announcement.incarnation);
        let is_leaving = announcement.phase == Phase::Leaving;
        let address = announcement.address;
        if !self.store(now, announcement) {
            return false;
        }
        self.last_heard = self.last_heard.max(now);
        self.take_over(address);
        self.revision += 1;
        if let Some(row) = self.rows.get_mut(&upstream) {
            row.revision = self.revision;
        }
        if self.config.heartbeat_only && known == Some(incarnation) && !is_leaving {
            let sent = now.saturating_sub(HEARTBEAT_LAG);
            self.quarantine.refute(&upstream, incarnation, sent);
        }
        if known != Some(incarnation)
            && let Some(last) = incarnation.0.checked_sub(1)
        {
            self.quarantine
                .confirm_crashes(&upstream, Incarnation(last));
        }
        true
    }

    /// Where an address has changed hands, only the latest start at it is still there.
    fn take_over(&mut self, address: SocketAddr) {
        if !self.config.heartbeat_only {
            return;
        }
        let here = |row: &&mut Row| row.announcement.address == address;
        let latest = self
            .rows
            .values()
            .filter(|row| row.announcement.address == address);
        let Some(latest) = latest.map(|row| row.announcement.incarnation).max() else {
            return;
        };
        for row in self.rows.values_mut().filter(here) {
            if row.announcement.incarnation < latest {
                row.announcement.phase = Phase::Leaving;
            }
        }
    }

    /// Takes in the load that an upstream gave with an answer.
    pub fn update_load(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        load: Load,
    ) {
        if let Some(row) = self.rows.get_mut(upstream)
            && row.announcement.incarnation == incarnation
        {
            row.announcement.load = load;
            row.apply_load(now, &self.config);
        }
    }

    /// The answer to an attempt has begun: its prompt is read.
    pub fn record_answer_start(&mut self, attempt: AttemptId) {
        let Some(active) = self.active.get_mut(&attempt) else {
            return;
        };
        let read = std::mem::take(&mut active.prefill);
        if let Some(row) = self.rows.get_mut(&active.upstream)
            && row.announcement.incarnation == active.incarnation
        {
            row.pending_prefill = row.pending_prefill.saturating_sub(read);
        }
    }

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

    /// Drops the row that was not heard of for longest, if it is stale.
    fn evict(&mut self, now: Millis) -> bool {
        let oldest = self
            .rows
            .values()
            .filter(|row| row.is_stale(now, &self.config) && row.in_flight == 0)
            .min_by_key(|row| (row.heard_at, &row.announcement.upstream))
            .map(|row| row.announcement.upstream.clone());
        oldest.is_some_and(|upstream| self.rows.remove(&upstream).is_some())
    }

    /// Chooses an upstream and counts the attempt.
    ///
    /// # Errors
    ///
    /// Says why there is none.
    pub fn choose(&mut self, now: Millis, criteria: &Criteria) -> Result<Pick, ChoiceError> {
        let suspected = self.admit(now, &criteria.body)?;
        let context = ChoiceContext {
            now,
            config: &self.config,
            centre: &self.centre,
            criteria,
            routers: self.routers,
            suspected,
            last_heard: self.last_heard,
        };
        let (rows, ask) = usable(&self.rows, &context)?;
        let index = context
            .choose(&rows, &mut self.rng)
            .ok_or(ChoiceError::NoneUsable)?;
        let upstream = rows[index].announcement.upstream.clone();
        let prefill = context.uncached(rows[index]);
        self.start_attempt(now, upstream, criteria, suspected, ask, prefill)
            .ok_or(ChoiceError::NoneUsable)
    }

    /// Whether the request broke an upstream off once, so that it may run once more.
    pub fn is_suspected(&self, body: &Fingerprint) -> bool {
        let state = self.quarantine.state(body, self.config.evidence_ttl);
        state == RequestState::Suspected
    }

    /// Whether the request is suspected by an earlier crash.
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

    fn start_attempt(
        &mut self,
        now: Millis,
        upstream: Upstream,
        criteria: &Criteria,
        suspected: bool,
        ask: bool,
        prefill: u64,
    ) -> Option<Pick> {
        let row = self.rows.get_mut(&upstream)?;
        row.in_flight += 1;
        row.pending_prefill += prefill;
        row.suspected += u32::from(suspected);
        row.prefix_cache
            .record_routed(now, &criteria.prefixes, &self.config);
        if ask {
            row.start_probe(now);
        }
        self.last_attempt += 1;
        let active = ActiveAttempt {
            upstream: upstream.clone(),
            incarnation: row.announcement.incarnation,
            body: criteria.body,
            suspected,
            prefill,
        };
        self.active.insert(self.last_attempt, active);
        Some(Pick {
            attempt: self.last_attempt,
            upstream,
            incarnation: row.announcement.incarnation,
            address: row.announcement.address,
            ask,
        })
    }

    /// Counts the end of an attempt.
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
        match outcome {
            AttemptOutcome::Completed => row.record_success(now),
            AttemptOutcome::Overload => row.breaker.record_overload(now, &self.config),
            AttemptOutcome::Unreachable | AttemptOutcome::Broken => {
                row.probe_requested = true;
                row.breaker.record_fault(now, &self.config);
                if outcome == AttemptOutcome::Unreachable && self.config.heartbeat_only {
                    row.unresponsive = true;
                    row.last_probe = Some(now);
                }
            }
            AttemptOutcome::TimedOut => {
                row.breaker.record_timeout(now, &self.config);
            }
            AttemptOutcome::Neutral => {}
        }
    }

    /// What the end of an attempt says of its request.
    fn record_evidence(&mut self, now: Millis, active: &ActiveAttempt, outcome: AttemptOutcome) {
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
            AttemptOutcome::Overload | AttemptOutcome::TimedOut | AttemptOutcome::Neutral => {}
        }
    }

    fn has_restarted(&self, upstream: &Upstream, incarnation: Incarnation) -> bool {
        self.rows
            .get(upstream)
            .is_some_and(|row| row.announcement.incarnation > incarnation)
    }

    /// The answer to asking an upstream directly; `None` if it did not answer.
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
        }
    }

    fn mark_unresponsive(&mut self, upstream: &Upstream, incarnation: Incarnation) {
        if let Some(row) = self.rows.get_mut(upstream)
            && row.announcement.incarnation == incarnation
        {
            row.unresponsive = true;
            row.probe_requested = false;
        }
        self.quarantine.confirm_crashes(upstream, incarnation);
    }

    /// Takes in evidence that a request crashed an upstream. Returns whether it has to be spread.
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
        let news = self.quarantine.record_remote_crash(now, crash);
        if let Some(row) = self.rows.get_mut(upstream) {
            // An answer of the same incarnation would refute the evidence.
            row.probe_requested |= news && row.announcement.incarnation == incarnation;
        }
        news
    }

    /// Moves the crash evidence that this router found by itself since the last call to `out`.
    pub fn drain_crashes(&mut self, out: &mut Vec<Crash>) {
        self.quarantine.drain_outbox(out);
    }

    /// Upstreams to ask now: their answers go to [`Table::record_probe`].
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

    /// Lets time pass: drops what has expired. Due about every second.
    pub fn tick(&mut self, now: Millis) {
        let forget = self.config.forget_after;
        if self.config.heartbeat_only {
            self.rows.values_mut().for_each(|row| row.expire_load(now));
        }
        self.rows
            .retain(|_, row| now < row.heard_at + forget || row.in_flight > 0);
        self.quarantine.expire(now, self.config.evidence_ttl);
    }

    /// State of each known upstream, for `status` and metrics.
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

    /// How many requests this router may run at once, by the kinds that share upstreams.
    ///
    /// `routers` is the number of routers that send work to the same upstreams; each keeps its even
    /// part of the slots, in later choices as well.
    pub fn pools(&mut self, now: Millis, routers: u32) -> Vec<Pool> {
        self.routers = routers;
        pool::pools(self.rows.values(), now, &self.config, routers)
    }

    /// Announcements that changed after `cursor` and that `peer` keeps in full, and the next cursor.
    ///
    /// A leave goes to every peer.
    pub fn announcements_for(&self, peer: &Host, cursor: u64) -> (u64, Vec<&Announcement>) {
        let all = self.rows.len() <= self.config.full_limit;
        let news = self
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
        (self.revision, news)
    }

    /// Announcements that another router should hear: the newest of each upstream.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.rows.values().map(|row| &row.announcement)
    }
}
