//! Requests that crash the upstreams that run them.
//!
//! A broken connection alone is no evidence: the upstream is asked. If it answers with the same
//! incarnation, it did not crash, and the incident goes. If it does not answer, or another incarnation
//! does, the incident is evidence of a crash. A request with two incidents is not run a third time: while
//! one of them is not settled it is a suspect, with two crashes it is in quarantine. A whole answer
//! acquits a request, so one that only stood beside the culprit is freed by its retry.
//!
//! The second incident is told to the other routers before it is settled, since the caller may resend
//! through one of them sooner than a dead host is given up on. They ask for themselves, and an
//! answer refutes the incident there as well.

use crate::id::Fingerprint;
use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;

/// Evidence that an upstream crashed while it ran a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Crash {
    /// Body of the request.
    pub body: Fingerprint,
    /// Where it ran.
    pub upstream: Upstream,
    /// Which start of the upstream ended.
    pub incarnation: Incarnation,
}

/// State of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// Nothing is known against it.
    Clear,
    /// One upstream broke off, perhaps because of it.
    Suspected,
    /// Two broke off, and at least one is still being asked.
    Unconfirmed,
    /// Two crashed.
    Quarantined {
        /// When the evidence expires.
        until: Millis,
    },
}

/// Crash evidence at one router.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    incidents: Map<Fingerprint, Vec<Incident>>,
    outbox: Vec<Crash>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Incident {
    upstream: Upstream,
    incarnation: Incarnation,
    broke_at: Millis,
    confirmed: bool,
    reported: bool,
}

impl Incident {
    fn crash(&self, body: Fingerprint) -> Crash {
        Crash {
            body,
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Upstream crashes from which on a request is not run again.
pub const CRASH_LIMIT: usize = 2;
const UNCONFIRMED_TTL: Millis = Millis(60_000);
const MAX_REQUESTS: usize = 4_096;
const MAX_INCIDENTS: usize = 8;
const MAX_OUTBOX: usize = 4_096;

impl Quarantine {
    /// State of a request.
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

    /// How many upstreams broke the request off, and when the last one did.
    pub fn break_count(&self, body: &Fingerprint) -> (usize, Millis) {
        let incidents = self.incidents.get(body);
        let last = incidents
            .into_iter()
            .flatten()
            .map(|incident| incident.broke_at)
            .max();
        (incidents.map_or(0, Vec::len), last.unwrap_or_default())
    }

    /// The connection broke while the upstream ran the request; whether it crashed is open.
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

    fn report(&mut self, body: Fingerprint) {
        let incidents = self.incidents.get_mut(&body).into_iter().flatten();
        for incident in incidents.filter(|incident| !incident.reported) {
            incident.reported = true;
            self.outbox.push(incident.crash(body));
        }
        self.outbox.truncate(MAX_OUTBOX);
    }

    /// The connection broke, and the upstream can't be asked: the others are told at once.
    pub fn record_crash(&mut self, now: Millis, crash: Crash) {
        self.record(now, crash.clone(), true);
        self.outbox.push(crash);
        self.outbox.truncate(MAX_OUTBOX);
    }

    /// The upstream crashed while it ran the request. Returns whether that is news.
    pub fn record_remote_crash(&mut self, now: Millis, crash: Crash) -> bool {
        self.record(now, crash, true)
    }

    /// All incarnations of the upstream up to `last` have ended: open incidents become evidence.
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

    /// The upstream answered with this incarnation to a question sent at `sent`: incidents made until
    /// then are void.
    pub fn refute(&mut self, upstream: &Upstream, incarnation: Incarnation, sent: Millis) {
        self.incidents.retain(|_, incidents| {
            incidents.retain(|incident| {
                let refuted = incident.upstream == *upstream
                    && incident.incarnation == incarnation
                    && incident.broke_at <= sent;
                !refuted
            });
            !incidents.is_empty()
        });
    }

    /// The request had a whole answer.
    pub fn forget_request(&mut self, body: &Fingerprint) {
        self.incidents.remove(body);
    }

    /// Drops evidence older than `ttl`, and incidents that nobody settled.
    pub fn expire(&mut self, now: Millis, ttl: Millis) {
        self.incidents.retain(|_, incidents| {
            incidents.retain(|incident| match incident.confirmed {
                true => now < incident.broke_at + ttl,
                false => now < incident.broke_at + UNCONFIRMED_TTL,
            });
            !incidents.is_empty()
        });
    }

    /// Moves the evidence found by this router since the last call to `out`.
    pub fn drain_outbox(&mut self, out: &mut Vec<Crash>) {
        out.append(&mut self.outbox);
    }

    fn record(&mut self, now: Millis, crash: Crash, confirmed: bool) -> bool {
        if self.incidents.len() >= MAX_REQUESTS && !self.incidents.contains_key(&crash.body) {
            self.evict();
        }
        let incidents = self.incidents.entry(crash.body).or_default();
        let known = incidents.iter_mut().find(|incident| {
            incident.upstream == crash.upstream && incident.incarnation == crash.incarnation
        });
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

    /// Drops the request with the fewest crashes, and among these the oldest.
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
