//! Requests for upstreams that name rates.

use std::net::SocketAddr;

use crate::id::Upstream;
use crate::unit::Incarnation;
use crate::unit::Millis;
use crate::unit::RequestRate;

use super::AttemptId;
use super::ChoiceContext;
use super::ChoiceError;
use super::Criteria;
use super::Table;
use super::usable;
use crate::upstream::choice::random_index;
use crate::upstream::rate::KnownRate;
use crate::upstream::rate::RateNotice;
use crate::upstream::rate::Reach;
use crate::upstream::rate::ShareGrant;
use crate::upstream::rate::ShareRequest;
use crate::upstream::rate::ShareStatus;

/// An upstream that is at its rate, though a request would go there.
#[derive(Clone, Debug)]
pub struct LimitedUpstream {
    /// The upstream.
    pub upstream: Upstream,
    /// Its rate, as far as this router knows.
    pub known: KnownRate,
    /// This router's share of it.
    pub share: ShareStatus,
    /// Whether the owner of the rate may grant the request soon.
    pub may_wait: bool,
}

impl Table {
    /// Applies the rate that the answer to an attempt stated, none if it stated none. Returns the
    /// change to tell the other routers, if there is one.
    pub fn observe_rate(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        rate: Option<RequestRate>,
    ) -> Option<RateNotice> {
        let active = self.active.get(&attempt)?;
        let (upstream, incarnation) = (&active.upstream, active.incarnation);
        self.rates
            .observe_answer(now, upstream, incarnation, active.sent_at, rate)
    }

    /// Returns whether an upstream has named a rate.
    pub fn has_rates(&self) -> bool {
        !self.rates.is_empty()
    }

    /// Returns the upstream that would be chosen if it were not at its rate, and if so, whether it is
    /// worth to wait for the owner of that rate. `routers` is the number of known routers, live or
    /// not.
    pub fn find_limited(
        &mut self,
        now: Millis,
        criteria: &Criteria,
        routers: usize,
    ) -> Option<LimitedUpstream> {
        self.rates.refill(now, routers);
        let context = ChoiceContext {
            now,
            config: &self.config,
            centre: &self.centre,
            criteria,
            routers: self.routers,
            suspected: false,
            last_heard: self.last_heard,
            releases: &self.releases,
            speed: self.speeds.get(&criteria.kind),
        };
        let rows = usable(&self.rows, &context, None).ok()?.rows;
        let row = rows[context.choose(&rows, &mut self.rng)?.index];
        let upstream = row.announcement.upstream.clone();
        let incarnation = row.announcement.incarnation;
        let priority = criteria.priority;
        if self.rates.has_room(now, &upstream, incarnation, priority) {
            return None;
        }
        let known = *self.rates.known(&upstream, incarnation)?;
        let share = self.rates.status(now, &upstream);
        let may_wait = self.rates.want(now, &upstream, incarnation, priority);
        Some(LimitedUpstream {
            upstream,
            known,
            share,
            may_wait,
        })
    }

    /// Turns away a request for which every usable upstream is at its rate.
    pub(super) fn turn_away(&mut self, now: Millis, criteria: &Criteria) -> ChoiceError {
        let offering = self.rows.values().filter(|row| {
            let upstream = &row.announcement.upstream;
            row.offers(&criteria.kind)
                && self.releases.allows(criteria, &row.announcement)
                && !criteria.avoid.contains(upstream)
                && !row.is_leaving(now)
                && !row.evacuated
                && row.pause.active_until(now).is_none()
        });
        let starts: Vec<(Upstream, Incarnation)> = offering
            .map(|row| {
                (
                    row.announcement.upstream.clone(),
                    row.announcement.incarnation,
                )
            })
            .filter(|(upstream, incarnation)| {
                let priority = criteria.priority;
                !self.rates.has_room(now, upstream, *incarnation, priority)
            })
            .collect();
        let first = starts
            .iter()
            .min_by_key(|(upstream, start)| self.rates.next_return(now, upstream, *start));
        let jitter = random_index(&mut self.rng, 1_000) as u64;
        let until = first.map_or(now, |(upstream, start)| {
            self.rates.turn_away(now, upstream, *start, jitter)
        });
        ChoiceError::RateLimited { until }
    }

    /// Applies what another router stated of a rate. Returns what to pass on, if it was news.
    pub fn observe_rate_notice(&mut self, now: Millis, notice: &RateNotice) -> Option<RateNotice> {
        self.rates.observe_notice(now, notice)
    }

    /// Returns all known rates, for routers that missed them.
    pub fn rate_notices(&self) -> impl Iterator<Item = RateNotice> {
        self.rates.notices()
    }

    /// Returns the request to send to the owner of an upstream's rate, if one is due.
    pub fn ask_share(&mut self, now: Millis, upstream: &Upstream) -> Option<ShareRequest> {
        self.rates.ask(now, upstream)
    }

    /// Returns whether a request to the owner of an upstream's rate is unanswered.
    pub fn is_share_pending(&self, upstream: &Upstream) -> bool {
        self.rates.is_pending(upstream)
    }

    /// Answers a router's request as the owner of the rate.
    pub fn answer_share(
        &mut self,
        now: Millis,
        router: SocketAddr,
        request: &ShareRequest,
        reach: Reach,
    ) -> ShareGrant {
        self.rates.answer(now, router, request, reach)
    }

    /// Applies the answer of the owner of a rate.
    pub fn observe_grant(&mut self, now: Millis, grant: &ShareGrant) {
        self.rates.observe_grant(now, grant);
    }
}
