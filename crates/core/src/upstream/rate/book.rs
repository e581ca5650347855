//! The rates of all upstreams, as one router knows them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Upstream;
use crate::map::Map;
use crate::unit::Incarnation;
use crate::unit::Millis;
use crate::unit::RequestRate;
use crate::upstream::announce::MAX_INCARNATION;

use super::grantor::Grantor;
use super::known::KnownRate;
use super::known::NoticeEffect;
use super::share::Share;
use super::share::ShareStatus;

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

/// A router's request to the owner of an upstream's rate for requests that it may send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareRequest {
    /// The rate as this router knows it, in case the owner has not heard of it.
    pub notice: RateNotice,
    /// Number of the request; the answer repeats it.
    pub number: u64,
    /// Requests that the router could send.
    pub count: u64,
    /// Highest priority of them.
    pub priority: u8,
}

/// The owner's answer to a [`ShareRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareGrant {
    /// Upstream that the requests may be sent to.
    pub upstream: Upstream,
    /// Its start.
    pub incarnation: Incarnation,
    /// Number of the router's request.
    pub number: u64,
    /// Requests that the router may send.
    pub tokens: u64,
    /// Time after which the router may ask again.
    pub wait: Millis,
}

/// How many of the routers the owner of a rate can reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reach {
    /// Routers that are live, the owner included.
    pub live: usize,
    /// These and the routers that were lost and may run on the other side of a partition, where
    /// another owner grants their part.
    pub known: usize,
}

impl Reach {
    /// Returns the part of a rate that the owner may grant.
    fn part(self, rate: RequestRate) -> RequestRate {
        let known = self.known.max(self.live).max(1) as u64;
        RequestRate(rate.0.saturating_mul(self.live as u64) / known)
    }
}

/// Time after which a router asks again that asked about an upstream whose start has ended.
const ENDED_WAIT: Millis = Millis(1_000);

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
    /// This router's share, from the first request on.
    share: Option<Share>,
    /// The shares of all routers, if this router has been asked for one.
    grantor: Option<Grantor>,
}

impl Entry {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            known: KnownRate::default(),
            share: None,
            grantor: None,
        }
    }

    /// Returns this router's share with the rate, if one is in force.
    fn share(&mut self, now: Millis) -> Option<(&mut Share, RequestRate)> {
        let rate = self.known.rate?;
        let share = self.share.get_or_insert_with(|| Share::new(now));
        Some((share, rate))
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

    /// Returns whether no upstream has named a rate.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
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

    /// Advances the time of this router's shares. `routers` is the number of known routers,
    /// live or not.
    pub fn refill(&mut self, now: Millis, routers: usize) {
        for entry in self.entries.values_mut() {
            if let Some((share, rate)) = entry.share(now) {
                share.refill(now, rate, routers);
            }
        }
    }

    /// Returns whether this router may send a request of this priority to an upstream now.
    pub fn has_room(
        &self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        priority: u8,
    ) -> bool {
        let Some(entry) = self.entries.get(upstream) else {
            return true;
        };
        let is_limited = entry.incarnation == incarnation && entry.known.rate.is_some();
        let share = entry.share.as_ref();
        !is_limited || share.is_some_and(|share| share.has_room(now, priority))
    }

    /// Counts a request of this priority that is sent to an upstream now.
    pub fn take(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        priority: u8,
    ) {
        if let Some((share, _)) = self.share(now, upstream, incarnation) {
            share.take(now, priority);
        }
    }

    /// Counts a request that would be sent to an upstream if there were room. Returns whether it is worth to wait for the owner's answer, which
    /// [`Self::ask`] may have to request.
    pub fn want(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        priority: u8,
    ) -> bool {
        let share = self.share(now, upstream, incarnation);
        share.is_some_and(|(share, _)| share.want(now, priority))
    }

    /// Returns the state of this router's share, for the log.
    pub fn status(&self, now: Millis, upstream: &Upstream) -> ShareStatus {
        let entry = self.entries.get(upstream);
        let share = entry.and_then(|entry| entry.share.as_ref());
        share.map_or(ShareStatus::default(), |share| share.status(now))
    }

    /// Returns the request to send to the owner of an upstream's rate, if one is due.
    pub fn ask(&mut self, now: Millis, upstream: &Upstream) -> Option<ShareRequest> {
        let entry = self.entries.get_mut(upstream)?;
        let (share, _) = entry.share(now)?;
        let wanted = share.ask(now)?;
        Some(ShareRequest {
            notice: entry.notice(upstream),
            number: wanted.number,
            count: wanted.count,
            priority: wanted.priority,
        })
    }

    /// Returns whether a request to the owner of an upstream's rate is unanswered.
    pub fn is_pending(&self, upstream: &Upstream) -> bool {
        let share = self.entries.get(upstream);
        let share = share.and_then(|entry| entry.share.as_ref());
        share.is_some_and(Share::is_pending)
    }

    /// Answers a router's request as the owner of the rate.
    pub fn answer(
        &mut self,
        now: Millis,
        router: SocketAddr,
        request: &ShareRequest,
        reach: Reach,
    ) -> ShareGrant {
        self.observe_notice(now, &request.notice);
        let RateNotice {
            upstream,
            incarnation,
            ..
        } = &request.notice;
        let (tokens, wait) = match self.entry(upstream, *incarnation) {
            None => (0, ENDED_WAIT),
            Some(entry) => match entry.known.rate {
                None => (request.count, Millis::ZERO),
                Some(rate) => {
                    let grantor = entry.grantor.get_or_insert_with(|| Grantor::new(now));
                    let part = reach.part(rate);
                    let granted = grantor.grant(now, part, router, request.count, request.priority);
                    (granted.tokens, granted.wait)
                }
            },
        };
        ShareGrant {
            upstream: upstream.clone(),
            incarnation: *incarnation,
            number: request.number,
            tokens,
            wait,
        }
    }

    /// Applies the owner's answer.
    pub fn observe_grant(&mut self, now: Millis, grant: &ShareGrant) {
        if let Some((share, _)) = self.share(now, &grant.upstream, grant.incarnation) {
            share.grant(now, grant.number, grant.tokens, grant.wait);
        }
    }

    /// Returns the earliest time at which a caller that is turned away now may return to an upstream.
    pub fn next_return(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
    ) -> Millis {
        let share = self.share(now, upstream, incarnation);
        share.map_or(now, |(share, _)| share.next_return(now))
    }

    /// Turns a caller away from an upstream. Returns when it may return. `jitter` is a random number
    /// below 1,000.
    pub fn turn_away(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
        jitter: u64,
    ) -> Millis {
        let share = self.share(now, upstream, incarnation);
        share.map_or(now, |(share, _)| share.turn_away(now, jitter))
    }

    /// Removes the upstreams that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&Upstream) -> bool) {
        self.entries.retain(|upstream, _| is_known(upstream));
    }

    /// Returns this router's share and the rate of a start of an upstream, if a rate is in force.
    fn share(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        incarnation: Incarnation,
    ) -> Option<(&mut Share, RequestRate)> {
        let entry = self.entries.get_mut(upstream);
        let entry = entry.filter(|entry| entry.incarnation == incarnation)?;
        entry.share(now)
    }

    /// Returns the entry of a start of an upstream, which replaces that of an earlier start; none if
    /// a later start is known, or if no upstream can have started then.
    fn entry(&mut self, upstream: &Upstream, incarnation: Incarnation) -> Option<&mut Entry> {
        if incarnation.0 > MAX_INCARNATION {
            return None;
        }
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
