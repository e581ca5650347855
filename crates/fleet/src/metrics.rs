//! Counters of every decision. Labels are closed sets of short words.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// How something ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ResultLabel {
    /// A word out of a closed set.
    pub result: &'static str,
}

/// A counter for each way in which something ends.
#[derive(Clone, Debug, Default)]
pub struct OutcomeCounter(Family<ResultLabel, Counter>);

impl OutcomeCounter {
    /// Counts one.
    pub fn add(&self, result: &'static str) {
        self.add_many(result, 1);
    }

    /// Counts several.
    pub fn add_many(&self, result: &'static str, count: u64) {
        self.0.get_or_create(&ResultLabel { result }).inc_by(count);
    }
}

/// Metrics of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by their end: `served` or the code of the refusal.
    pub requests: OutcomeCounter,
    /// Attempts at upstreams by their end.
    pub attempts: OutcomeCounter,
    /// Second and later attempts of one request, by what became of them.
    pub retries: OutcomeCounter,
    /// Bills by what became of them.
    pub bills: OutcomeCounter,
    /// Reports to the ledger.
    pub draws: OutcomeCounter,
    /// Reservations: made at once, after a wait, or not.
    pub reservations: OutcomeCounter,
    /// Tokens: billed or wasted.
    pub tokens: OutcomeCounter,
    /// Resumed streams.
    pub resumes: OutcomeCounter,
    /// Cancelled attempts.
    pub cancels: OutcomeCounter,
    /// Admissions: at once, after a wait, or why not.
    pub admissions: OutcomeCounter,
    /// Claims of non-idempotent calls.
    pub claims: OutcomeCounter,
    /// Requests with a key that this router knew.
    pub known: OutcomeCounter,
    /// Announcements heard.
    pub announcements: OutcomeCounter,
    /// Crash evidence: found by this router, or heard of.
    pub crashes: OutcomeCounter,
    /// Messages between routers.
    pub spreads: OutcomeCounter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Attempts at upstreams whose outcome is not known yet.
    pub unresolved: Gauge,
    /// Revision in force.
    pub revision: Gauge,
    /// Connections to upstreams: kept, new or failed.
    pub connections: OutcomeCounter,
    passed: Family<PassThroughLabel, Counter>,
    answered: Family<KindLabel, Histogram>,
}

/// Kind of a pass-through route and the end of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PassThroughLabel {
    kind: &'static str,
    outcome: &'static str,
}

/// Kind of a pass-through route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabel {
    kind: &'static str,
}

/// Bounds of the latency histograms, in seconds: around the targets of calls and of streams.
const LATENCY_SECONDS: [f64; 12] = [
    0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0,
];

fn latency() -> Histogram {
    Histogram::new(LATENCY_SECONDS)
}

impl Metrics {
    /// Metrics that start at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chestnutnotch"),
            requests: OutcomeCounter::default(),
            attempts: OutcomeCounter::default(),
            retries: OutcomeCounter::default(),
            bills: OutcomeCounter::default(),
            draws: OutcomeCounter::default(),
            reservations: OutcomeCounter::default(),
            tokens: OutcomeCounter::default(),
            resumes: OutcomeCounter::default(),
            cancels: OutcomeCounter::default(),
            admissions: OutcomeCounter::default(),
            claims: OutcomeCounter::default(),
            known: OutcomeCounter::default(),
            announcements: OutcomeCounter::default(),
            crashes: OutcomeCounter::default(),
            spreads: OutcomeCounter::default(),
            in_flight: Gauge::default(),
            unresolved: Gauge::default(),
            revision: Gauge::default(),
            connections: OutcomeCounter::default(),
            passed: Family::default(),
            answered: Family::new_with_constructor(latency),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let counters = [
            ("requests", "Requests by their end", &self.requests),
            ("attempts", "Attempts by their end", &self.attempts),
            ("retries", "Further attempts of one request", &self.retries),
            ("bills", "Bills by what became of them", &self.bills),
            ("draws", "Reports to the ledger", &self.draws),
            ("reservations", "Reservations", &self.reservations),
            ("tokens", "Tokens billed and wasted", &self.tokens),
            ("resumes", "Resumed streams", &self.resumes),
            ("cancels", "Cancelled attempts", &self.cancels),
            ("admissions", "Admissions under load", &self.admissions),
            ("claims", "Claims of non-idempotent calls", &self.claims),
            ("known", "Requests with a known key", &self.known),
            ("announcements", "Announcements", &self.announcements),
            ("crashes", "Crash evidence", &self.crashes),
            ("spreads", "Messages between routers", &self.spreads),
            ("connections", "Connections to upstreams", &self.connections),
        ];
        for (name, help, results) in counters {
            self.registry.register(name, help, results.0.clone());
        }
        let gauges = [
            ("requests_in_flight", "Requests in flight", &self.in_flight),
            (
                "attempts_unknown",
                "Attempts with unknown end",
                &self.unresolved,
            ),
            ("revision_in_force", "Revision in force", &self.revision),
        ];
        for (name, help, gauge) in gauges {
            self.registry.register(name, help, gauge.clone());
        }
        let help = "Pass-through requests by kind of route and end";
        self.registry
            .register("pass_through_requests", help, self.passed.clone());
        let help = "Time to the first event or the whole answer";
        self.registry
            .register("answer_seconds", help, self.answered.clone());
    }

    /// Counts the end of a pass-through request.
    pub fn count_pass_through(&self, kind: &'static str, outcome: &'static str) {
        let label = PassThroughLabel { kind, outcome };
        self.passed.get_or_create(&label).inc();
    }

    /// Counts the time to the first event of a stream, or to a whole answer.
    pub fn observe_latency(&self, kind: &'static str, millis: u64) {
        let seconds = millis as f64 / 1_000.0;
        self.answered
            .get_or_create(&KindLabel { kind })
            .observe(seconds);
    }

    /// The metrics in the text form that collectors read.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if prometheus_client::encoding::text::encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
