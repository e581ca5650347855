//! The rates of all upstreams, as one router knows them.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;
use crate::unit::RequestRate;

use super::known::KnownRate;
use super::known::NoticeEffect;

/// What a router tells the others of the rate that an upstream names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateNotice {
    /// Upstream that names the rate.
    pub upstream: Upstream,
    /// Its start; another start has no rate until it names one.
    pub incarnation: Incarnation,
    /// Number of changes so far; the highest is in force.
    pub version: u64,
    /// The rate; none if the upstream names none any more.
    pub rate: Option<RequestRate>,
}

/// The rates of all upstreams that have named one.
#[derive(Clone, Debug, Default)]
pub struct RateBook {
    entries: Map<Upstream, Entry>,
}

/// What is known of the rate of one upstream.
#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    known: KnownRate,
}

impl Entry {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            known: KnownRate::default(),
        }
    }
}

impl RateBook {
    /// Applies the rate that an answer of an upstream stated, none if it stated none. `sent` is when
    /// the request was sent. Returns the change to tell the other routers, if there is one.
    pub fn observe_answer(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        sent: Millis,
        rate: Option<RequestRate>,
    ) -> Option<RateNotice> {
        if rate.is_none() && !self.entries.contains_key(upstream) {
            return None;
        }
        let entry = self.entry(upstream, incarnation)?;
        let changed = entry.known.observe_answer(now, sent, rate);
        changed.then(|| entry.notice(upstream))
    }

    /// Applies what another router stated. Returns what to pass on, if it was news.
    pub fn observe_notice(&mut self, now: Millis, notice: &RateNotice) -> Option<RateNotice> {
        let entry = self.entry(&notice.upstream, notice.incarnation)?;
        match entry.known.observe_notice(now, notice.version, notice.rate) {
            NoticeEffect::Stale => None,
            NoticeEffect::Adopted | NoticeEffect::Disputed => Some(entry.notice(&notice.upstream)),
        }
    }

    /// Returns all that is known, for routers that missed it.
    pub fn notices(&self) -> impl Iterator<Item = RateNotice> {
        let known = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.known.version > 0);
        known.map(|(upstream, entry)| entry.notice(upstream))
    }

    /// Returns what is known of the rate of one start of an upstream.
    pub fn known(&self, upstream: &Upstream, incarnation: Incarnation) -> Option<&KnownRate> {
        let entry = self.entries.get(upstream)?;
        (entry.incarnation == incarnation).then_some(&entry.known)
    }

    /// Removes the upstreams that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&Upstream) -> bool) {
        self.entries.retain(|upstream, _| is_known(upstream));
    }

    /// Returns the entry of a start of an upstream, which replaces that of an earlier start; none if
    /// a later start is known.
    fn entry(&mut self, upstream: &Upstream, incarnation: Incarnation) -> Option<&mut Entry> {
        let entry = self.entries.entry(upstream.clone());
        let entry = entry.or_insert_with(|| Entry::new(incarnation));
        if entry.incarnation < incarnation {
            *entry = Entry::new(incarnation);
        }
        (entry.incarnation == incarnation).then_some(entry)
    }
}

impl Entry {
    fn notice(&self, upstream: &Upstream) -> RateNotice {
        RateNotice {
            upstream: upstream.clone(),
            incarnation: self.incarnation,
            version: self.known.version,
            rate: self.known.rate,
        }
    }
}
