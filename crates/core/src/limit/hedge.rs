//! Second attempts of requests that may be repeated, for load under which a few upstreams are much
//! slower than the others for a while.
//!
//! A second attempt is due when the answer takes longer than nearly all recent ones of its route. It
//! gives way to all else: none starts when the operator's limit on extra work is used up, when
//! most answers are slow, or when upstreams refuse for overload.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::id::Service;
use crate::map::Map;
use crate::route::Route;
use crate::unit::Millis;
use crate::unit::Tokens;

/// Settings of [`Hedge`]: the operator's limit on extra work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HedgeRules {
    /// Work of second attempts in proportion to that of first ones, in thousandths; zero for none.
    pub share: u32,
    /// Second attempts that may start at once after a time without any.
    pub burst: u32,
    /// Prompt tokens of these.
    pub burst_tokens: Tokens,
}

/// Why no second attempt was started.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HedgeDenied {
    /// Second attempts are switched off, or the request may run on one upstream only.
    #[error("the request may not run twice")]
    NotAllowed,
    /// Too few answers of the route are known.
    #[error("too few answers are known")]
    Unknown,
    /// Most answers of the route take long, not a few.
    #[error("most answers are slow")]
    AllSlow,
    /// No answer is expected before the deadline.
    #[error("too little time is left")]
    NoTime,
    /// An upstream of the service refused for overload a moment ago.
    #[error("the service is overloaded")]
    Overload,
    /// The router is stopping, or the request is suspected of crashing upstreams.
    #[error("no further work is started for it")]
    Withheld,
    /// The retry budget of the service is kept for retries after failures.
    #[error("the retry budget is low")]
    RetryBudget,
    /// The operator's limit on extra work is reached.
    #[error("the limit on extra work is reached")]
    Limit,
    /// No other upstream has room.
    #[error("no other upstream has room")]
    NoRoom,
}

impl HedgeDenied {
    /// Returns the reason as written to logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotAllowed => "not_allowed",
            Self::Unknown => "unknown",
            Self::AllSlow => "all_slow",
            Self::NoTime => "no_time",
            Self::Overload => "overload",
            Self::Withheld => "withheld",
            Self::RetryBudget => "retry_budget",
            Self::Limit => "limit",
            Self::NoRoom => "no_room",
        }
    }
}

/// A request whose second attempt is due.
#[derive(Clone, Copy, Debug)]
pub struct HedgeRequest<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Service that it goes to.
    pub service: &'a Service,
    /// Size of its prompt; zero if it has none.
    pub prompt: Tokens,
    /// Time left until its deadline.
    pub time_left: Millis,
    /// Retries that its service has left at this router.
    pub retries_left: u64,
    /// Whether the router is stopping, or the request is suspected of crashing upstreams.
    pub is_withheld: bool,
}

/// Decides when and whether second attempts start at one router.
#[derive(Clone, Debug)]
pub struct Hedge {
    rules: HedgeRules,
    /// Times of recent answers, by route.
    times: Map<Arc<str>, RecentTimes>,
    /// Time of the last refusal for overload, by service.
    overloads: Map<Service, Millis>,
    /// Second attempts that may start, in thousandths.
    requests: u64,
    /// Prompt tokens that they may have, in thousandths.
    tokens: u64,
}

/// Least delay of a second attempt. It spans several round trips within a region.
const MIN_DELAY: Millis = Millis(20);

/// Number of recent answers without which a route gets no second attempts.
const MIN_SAMPLES: usize = 12;

/// Maximum number of recent answers of a route that are kept.
const MAX_SAMPLES: usize = 128;

/// Time for which an answer counts as recent.
const SAMPLE_TTL: Millis = Millis(30_000);

/// Bounds of the percentile after which a second attempt is due, in thousandths.
const MIN_PERCENTILE: u32 = 900;
const MAX_PERCENTILE: u32 = 990;

/// Part of the answers that take no longer than is expected of a second attempt, in thousandths. A
/// second attempt starts early enough to meet the target latency then.
const USUAL_PERCENTILE: u32 = 750;

/// Time without second attempts after a refusal for overload, in which queues can drain.
const OVERLOAD_HOLD: Millis = Millis(1_000);

/// Retries of a service that are kept for those after failures.
const KEPT_RETRIES: u64 = 3;

/// Maximum number of routes and of services. All are forgotten when there are more, as names of
/// earlier versions of the routes may remain.
const MAX_NAMES: usize = 8_192;

const THOUSANDTHS: u64 = 1_000;

impl Hedge {
    /// Creates the state of a router that has sent nothing yet; it may use the whole burst.
    pub fn new(rules: HedgeRules) -> Self {
        Self {
            rules,
            times: Map::default(),
            overloads: Map::default(),
            requests: u64::from(rules.burst) * THOUSANDTHS,
            tokens: rules.burst_tokens.0.saturating_mul(THOUSANDTHS),
        }
    }

    /// Adds what the first attempt of a request with this prompt earns.
    pub fn record_first(&mut self, prompt: Tokens) {
        let share = u64::from(self.rules.share);
        self.earn(share, prompt.0.saturating_mul(share));
    }

    /// Records the time from the first attempt of a request to the first event or the whole plain
    /// answer.
    pub fn record_answer(&mut self, now: Millis, route: &Arc<str>, elapsed: Millis) {
        if self.times.len() >= MAX_NAMES && !self.times.contains_key(route) {
            self.times.clear();
        }
        let times = self.times.entry(Arc::clone(route)).or_default();
        times.record(now, elapsed);
    }

    /// Records that an upstream of the service refused a request for overload.
    pub fn record_overload(&mut self, now: Millis, service: &Service) {
        if self.overloads.len() >= MAX_NAMES {
            self.overloads.clear();
        }
        self.overloads.insert(service.clone(), now);
    }

    /// Returns the time after which a second attempt of a request is due that has no answer by then.
    ///
    /// # Errors
    ///
    /// Returns why none will be due.
    pub fn delay(&self, now: Millis, route: &Route) -> Result<Millis, HedgeDenied> {
        if self.rules.share == 0 || !route.kind.is_retryable() {
            return Err(HedgeDenied::NotAllowed);
        }
        let times = self.sorted_times(now, route)?;
        let high = THOUSANDTHS as u32 - self.rules.share.min(THOUSANDTHS as u32);
        let late = percentile(&times, high.clamp(MIN_PERCENTILE, MAX_PERCENTILE));
        let usual = percentile(&times, USUAL_PERCENTILE);
        let latest = route.target_latency.saturating_sub(usual);
        match latest >= usual.max(MIN_DELAY) {
            true => Ok(late.max(MIN_DELAY).min(latest)),
            false => Err(HedgeDenied::AllSlow),
        }
    }

    /// Decides whether the second attempt of a request starts that is due now. Takes its work from
    /// the limit if so.
    ///
    /// # Errors
    ///
    /// Returns why it does not start.
    pub fn take(&mut self, now: Millis, request: &HedgeRequest<'_>) -> Result<(), HedgeDenied> {
        self.delay(now, request.route)?;
        let times = self.sorted_times(now, request.route)?;
        if request.is_withheld {
            return Err(HedgeDenied::Withheld);
        }
        if request.time_left <= percentile(&times, USUAL_PERCENTILE) {
            return Err(HedgeDenied::NoTime);
        }
        let refused = self.overloads.get(request.service);
        if refused.is_some_and(|at| now < *at + OVERLOAD_HOLD) {
            return Err(HedgeDenied::Overload);
        }
        if request.retries_left <= KEPT_RETRIES {
            return Err(HedgeDenied::RetryBudget);
        }
        let tokens = request.prompt.0.saturating_mul(THOUSANDTHS);
        if self.requests < THOUSANDTHS || self.tokens < tokens {
            return Err(HedgeDenied::Limit);
        }
        self.requests -= THOUSANDTHS;
        self.tokens -= tokens;
        Ok(())
    }

    /// Gives back the work of a second attempt that was not sent.
    pub fn give_back(&mut self, prompt: Tokens) {
        self.earn(THOUSANDTHS, prompt.0.saturating_mul(THOUSANDTHS));
    }

    /// Adds thousandths of requests and of tokens, up to the burst.
    fn earn(&mut self, requests: u64, tokens: u64) {
        let most = u64::from(self.rules.burst) * THOUSANDTHS;
        self.requests = self.requests.saturating_add(requests).min(most);
        let most = self.rules.burst_tokens.0.saturating_mul(THOUSANDTHS);
        self.tokens = self.tokens.saturating_add(tokens).min(most);
    }

    /// Returns the times of the recent answers of a route, shortest first; at least
    /// [`MIN_SAMPLES`].
    fn sorted_times(&self, now: Millis, route: &Route) -> Result<Vec<Millis>, HedgeDenied> {
        let recent = self.times.get(&route.name);
        let mut times = recent.map_or_else(Vec::new, |recent| recent.since(now));
        if times.len() < MIN_SAMPLES {
            return Err(HedgeDenied::Unknown);
        }
        times.sort_unstable();
        Ok(times)
    }
}

/// Times of the last answers of a route, oldest first, each with when it arrived.
#[derive(Clone, Debug, Default)]
struct RecentTimes {
    answers: VecDeque<(Millis, Millis)>,
}

impl RecentTimes {
    fn record(&mut self, now: Millis, elapsed: Millis) {
        if self.answers.len() >= MAX_SAMPLES {
            self.answers.pop_front();
        }
        self.answers.push_back((now, elapsed));
    }

    /// Returns the times of the answers that still count as recent.
    fn since(&self, now: Millis) -> Vec<Millis> {
        let recent = |entry: &&(Millis, Millis)| now < entry.0 + SAMPLE_TTL;
        let recent = self.answers.iter().filter(recent);
        recent.map(|(_, elapsed)| *elapsed).collect()
    }
}

/// Returns the value below which `thousandths` of the sorted values lie; zero if there are none.
fn percentile(sorted: &[Millis], thousandths: u32) -> Millis {
    let index = sorted.len() * thousandths as usize / THOUSANDTHS as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(Millis::ZERO)
}
