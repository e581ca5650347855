//! Quarantine of requests that crash the upstreams that run them.
//!
//! A broken connection alone does not show a crash, so it is recorded as an unconfirmed incident
//! and the upstream is probed. An answer of the same incarnation refutes the incident. No answer,
//! or an answer of another incarnation, confirms a crash. A request with two incidents is not run a
//! third time: it is held back while one of them is unconfirmed, and quarantined if both are
//! confirmed. A complete answer to the request removes its incidents, so a request that merely ran
//! beside the one that crashed the upstream is cleared by its retry.
//!
//! The second incident is reported to the other routers before it is confirmed, since the caller
//! may resend the request through one of them before probes of a dead host time out. Those routers
//! probe the upstream themselves, and an answer refutes the incident there as well.

use crate::id::Fingerprint;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::evidence::Evidence;
use super::evidence::Stage;
use super::evidence::Subject;

/// Evidence that an upstream crashed while it ran a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Crash {
    /// Fingerprint of the request's body, which identifies the request.
    pub body: Fingerprint,
    /// Upstream that ran the request.
    pub upstream: Upstream,
    /// Start of the upstream that ended with the crash.
    pub incarnation: Incarnation,
}

/// State of a request, by the evidence against it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// There is no evidence.
    Clear,
    /// There is one incident; the request may run once more.
    Suspected,
    /// There are two incidents or more, with fewer than two confirmed crashes.
    Unconfirmed,
    /// Two crashes or more are confirmed.
    Quarantined {
        /// When the evidence expires, by the router's clock.
        until: Millis,
    },
}

/// Crash evidence at one router.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Incidents by request.
    incidents: Map<Fingerprint, Vec<Incident>>,
    /// Incidents to be reported to the other routers.
    outbox: Vec<Crash>,
    /// Number of incidents that were refuted or removed by an answer.
    removed: u64,
}

/// Connection of a request that broke, or a crash that was reported, at one start of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Incident {
    upstream: Upstream,
    incarnation: Incarnation,
    /// When the incident was recorded last.
    broke_at: Millis,
    /// Whether a crash is confirmed.
    confirmed: bool,
    /// Whether the incident is known to the other routers or in the outbox.
    reported: bool,
}

impl Incident {
    fn is_at(&self, upstream: &Upstream, incarnation: Incarnation) -> bool {
        self.upstream == *upstream && self.incarnation == incarnation
    }

    /// Returns the incident as evidence for other routers.
    fn crash(&self, body: Fingerprint) -> Crash {
        Crash {
            body,
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Number of incidents from which on a request is not run again.
pub const CRASH_LIMIT: usize = 2;
/// How long an incident that is neither confirmed nor refuted is kept.
const UNCONFIRMED_TTL: Millis = Millis(60_000);
/// Maximum number of requests with incidents.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of incidents of one request.
const MAX_INCIDENTS: usize = 8;
/// Maximum number of incidents that wait to be reported; further ones are dropped.
const MAX_OUTBOX: usize = 4_096;

impl Quarantine {
    /// Returns the state of a request. `ttl` is how long crash evidence is kept.
    pub fn state(&self, body: &Fingerprint, ttl: Millis) -> RequestState {
        let Some(incidents) = self.incidents.get(body) else {
            return RequestState::Clear;
        };
        let crashes = incidents.iter().filter(|incident| incident.confirmed);
        if crashes.clone().count() >= CRASH_LIMIT {
            let last = crashes
                .map(|incident| incident.broke_at)
                .max()
                .unwrap_or_default();
            return RequestState::Quarantined { until: last + ttl };
        }
        match incidents.len() {
            0 => RequestState::Clear,
            count if count < CRASH_LIMIT => RequestState::Suspected,
            _ => RequestState::Unconfirmed,
        }
    }

    /// Returns the number of incidents of a request, and when the last one was recorded.
    pub fn break_count(&self, body: &Fingerprint) -> (usize, Millis) {
        let incidents = self.incidents.get(body);
        let last = incidents
            .into_iter()
            .flatten()
            .map(|incident| incident.broke_at)
            .max();
        (incidents.map_or(0, Vec::len), last.unwrap_or_default())
    }

    /// Records that the connection broke while the upstream ran the request. Whether the upstream
    /// crashed is to be found out by a probe.
    pub fn record_break(&mut self, now: Millis, crash: Crash) {
        let body = crash.body;
        self.record(now, crash, false);
        if self
            .incidents
            .get(&body)
            .is_some_and(|incidents| incidents.len() >= CRASH_LIMIT)
        {
            self.report(body);
        }
    }

    /// Puts the unreported incidents of a request in the outbox.
    fn report(&mut self, body: Fingerprint) {
        let incidents = self.incidents.get_mut(&body).into_iter().flatten();
        for incident in incidents.filter(|incident| !incident.reported) {
            incident.reported = true;
            self.outbox.push(incident.crash(body));
        }
        self.outbox.truncate(MAX_OUTBOX);
    }

    /// Records that the connection broke, for upstreams that can't be probed: the incident counts
    /// as a confirmed crash and is reported at once.
    pub fn record_crash(&mut self, now: Millis, crash: Crash) {
        self.record(now, crash.clone(), true);
        self.outbox.push(crash);
        self.outbox.truncate(MAX_OUTBOX);
    }

    /// Records a crash that another router reported. Returns whether it was not known.
    pub fn record_remote_crash(&mut self, now: Millis, crash: Crash) -> bool {
        self.record(now, crash, true)
    }

    /// Records a crash that another router knows, at the time when it happened. Returns whether it
    /// was not known.
    pub fn record_resent_crash(&mut self, at: Millis, crash: Crash) -> bool {
        let known = self.incidents.get(&crash.body).into_iter().flatten();
        let mut known = known.filter(|incident| incident.confirmed);
        if known.any(|incident| incident.is_at(&crash.upstream, crash.incarnation)) {
            return false;
        }
        self.record(at, crash, true)
    }

    /// Returns the incidents of requests that have `limit` or more.
    pub fn evidence(&self, now: Millis, limit: usize) -> impl Iterator<Item = Evidence> {
        let requests = self.incidents.iter();
        let quarantined = requests.filter(move |(_, incidents)| incidents.len() >= limit);
        quarantined.flat_map(move |(body, incidents)| {
            incidents.iter().map(move |incident| Evidence {
                subject: Subject::Request(*body),
                upstream: incident.upstream.clone(),
                incarnation: incident.incarnation,
                stage: Stage::Waiting,
                age: now.saturating_sub(incident.broke_at),
            })
        })
    }

    /// Confirms the incidents at all incarnations of the upstream up to `last`, which have ended.
    pub fn confirm_crashes(&mut self, upstream: &Upstream, last: Incarnation) {
        for (body, incidents) in &mut self.incidents {
            let unconfirmed = incidents
                .iter_mut()
                .filter(|incident| !incident.confirmed && incident.upstream == *upstream)
                .filter(|incident| incident.incarnation <= last);
            for incident in unconfirmed {
                incident.confirmed = true;
                if !incident.reported {
                    incident.reported = true;
                    self.outbox.push(incident.crash(*body));
                }
            }
        }
        self.outbox.truncate(MAX_OUTBOX);
    }

    /// Removes the incidents at this incarnation recorded until `sent`, the time at which a probe
    /// that it answered was sent.
    pub fn refute(&mut self, upstream: &Upstream, incarnation: Incarnation, sent: Millis) {
        self.incidents.retain(|_, incidents| {
            incidents.retain(|incident| {
                let refuted = incident.is_at(upstream, incarnation) && incident.broke_at <= sent;
                self.removed += u64::from(refuted);
                !refuted
            });
            !incidents.is_empty()
        });
    }

    /// Removes the incidents of a request that got a complete answer.
    pub fn forget_request(&mut self, body: &Fingerprint) {
        let incidents = self.incidents.remove(body);
        self.removed += incidents.map_or(0, |incidents| incidents.len() as u64);
    }

    /// Returns the number of incidents removed since the last call because an answer or a heartbeat
    /// spoke against them.
    pub fn take_removed(&mut self) -> u64 {
        std::mem::take(&mut self.removed)
    }

    /// Removes confirmed incidents older than `ttl`, and unconfirmed ones after
    /// one minute.
    pub fn expire(&mut self, now: Millis, ttl: Millis) {
        self.incidents.retain(|_, incidents| {
            incidents.retain(|incident| match incident.confirmed {
                true => now < incident.broke_at + ttl,
                false => now < incident.broke_at + UNCONFIRMED_TTL,
            });
            !incidents.is_empty()
        });
    }

    /// Moves the incidents to be reported to the other routers to `out`.
    pub fn drain_outbox(&mut self, out: &mut Vec<Crash>) {
        out.append(&mut self.outbox);
    }

    /// Records an incident, or confirms a known one. Returns whether it is a new confirmed crash.
    fn record(&mut self, now: Millis, crash: Crash, confirmed: bool) -> bool {
        if self.incidents.len() >= MAX_REQUESTS && !self.incidents.contains_key(&crash.body) {
            self.evict();
        }
        let incidents = self.incidents.entry(crash.body).or_default();
        let known = incidents
            .iter_mut()
            .find(|incident| incident.is_at(&crash.upstream, crash.incarnation));
        if let Some(incident) = known {
            let is_new = confirmed && !incident.confirmed;
            incident.confirmed |= confirmed;
            incident.reported |= confirmed;
            incident.broke_at = now;
            return is_new;
        }
        if incidents.len() >= MAX_INCIDENTS {
            return false;
        }
        incidents.push(Incident {
            upstream: crash.upstream,
            incarnation: crash.incarnation,
            broke_at: now,
            confirmed,
            reported: confirmed,
        });
        confirmed
    }

    /// Removes the request with the fewest confirmed crashes; of equals the oldest.
    fn evict(&mut self) {
        let evicted = self
            .incidents
            .iter()
            .min_by_key(|(body, incidents)| {
                let crashes = incidents
                    .iter()
                    .filter(|incident| incident.confirmed)
                    .count();
                let last = incidents.iter().map(|incident| incident.broke_at).max();
                (crashes, last, **body)
            })
            .map(|(body, _)| *body);
        if let Some(body) = evicted {
            self.incidents.remove(&body);
        }
    }
}
