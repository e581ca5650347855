//! Prometheus metrics of a router. Every label has a small fixed set of values.

use chestnutnotch_core::unit::Millis;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Label of an [`OutcomeCounter`].
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ResultLabel {
    /// Outcome, out of a fixed set of words.
    pub result: &'static str,
}

/// A family of counters, one for each outcome.
#[derive(Clone, Debug, Default)]
pub struct OutcomeCounter(Family<ResultLabel, Counter>);

impl OutcomeCounter {
    /// Counts one outcome.
    pub fn add(&self, result: &'static str) {
        self.add_many(result, 1);
    }

    /// Adds `count` to the counter of an outcome.
    pub fn add_many(&self, result: &'static str, count: u64) {
        self.0.get_or_create(&ResultLabel { result }).inc_by(count);
    }
}

/// Label of a [`FigureGauge`].
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct FigureLabel {
    /// Name of the figure, out of a fixed set of words.
    pub figure: &'static str,
}

/// A family of gauges, one for each figure.
#[derive(Clone, Debug, Default)]
pub struct FigureGauge(Family<FigureLabel, Gauge>);

impl FigureGauge {
    /// Sets a figure. A value beyond the range of the gauge is set to its maximum.
    pub fn set(&self, figure: &'static str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.0.get_or_create(&FigureLabel { figure }).set(value);
    }
}

/// The metrics of one router or control process.
#[derive(Debug)]
pub struct Metrics {
    /// Collects all metrics for the text output.
    registry: Registry,
    /// Requests by outcome: `served` or the code of the refusal.
    pub requests: OutcomeCounter,
    /// Attempts at upstreams by outcome.
    pub attempts: OutcomeCounter,
    /// Second and later attempts of one request by outcome.
    pub retries: OutcomeCounter,
    /// Second attempts against slow answers, by result, or by why none was started.
    pub second_attempts: OutcomeCounter,
    /// Bills by how they were stored, or that they were refused or sent again.
    pub bills: OutcomeCounter,
    /// Reports to the ledger by its answer.
    pub draws: OutcomeCounter,
    /// Reservations by outcome: made at once or after a wait, or the reason why not.
    pub reservations: OutcomeCounter,
    /// Tokens used, by how they were accounted for: billed, wasted or spent without a bill.
    pub tokens: OutcomeCounter,
    /// Resumed streams by outcome.
    pub resumes: OutcomeCounter,
    /// Streams that callers take up again, by outcome.
    pub caller_resumes: OutcomeCounter,
    /// Cancels of attempts with an unknown outcome, by result.
    pub cancels: OutcomeCounter,
    /// Admissions by outcome: at once or after a wait, or the reason of load shedding.
    pub admissions: OutcomeCounter,
    /// Claims of non-idempotent calls by outcome.
    pub claims: OutcomeCounter,
    /// Requests whose idempotency key this router knew, by how they were answered.
    pub known: OutcomeCounter,
    /// Announcements by what they changed, and probes by whether they were answered.
    pub announcements: OutcomeCounter,
    /// Crash evidence: found by this router, received from another, or removed as answers or
    /// heartbeats spoke against it.
    pub crashes: OutcomeCounter,
    /// Messages to other routers by outcome.
    pub spreads: OutcomeCounter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Attempts at upstreams whose outcome is not known yet.
    pub unresolved: Gauge,
    /// Active revision of the configuration, or version of the routes.
    pub revision: Gauge,
    /// Connections to upstreams: reused, new or failed.
    pub connections: OutcomeCounter,
    /// Answers of upstreams to pass-through requests by what marks the end of the body.
    pub framings: OutcomeCounter,
    /// Answers, or parts of them, that no memory was left to hold.
    pub answer_memory: OutcomeCounter,
    /// Attempts that did not run, by the evidence.
    pub not_run: OutcomeCounter,
    /// Answers by whether they repeat the id of the request: its own, another one, or none.
    pub answer_ids: OutcomeCounter,
    /// Such answers that are not complete or not valid, by fault.
    pub faults: OutcomeCounter,
    /// Fetches of newer routes from other nodes by outcome.
    pub plan_fetches: OutcomeCounter,
    /// Confirmations of leaves and versions that live nodes owe this one for longer than usual.
    pub unconfirmed: Gauge,
    /// Evacuated data centres, as this node knows them.
    pub evacuated: Gauge,
    /// Requests to other routers for tokens: lent, empty or failed.
    pub loans: OutcomeCounter,
    /// Requests refused for lack of tokens, by cause.
    pub shortages: OutcomeCounter,
    /// Rates that upstreams named, and what became of requests for upstreams with one.
    pub rates: OutcomeCounter,
    /// Pauses that upstreams asked for, and what became of requests for paused upstreams.
    pub pauses: OutcomeCounter,
    /// Placements of requests that name a session.
    pub sessions: OutcomeCounter,
    /// State of the control replica: sizes of log and snapshot, time without a leader, and the like.
    pub replica: FigureGauge,
    /// Bytes that passed the network link, and the queue that they make.
    pub link: FigureGauge,
    /// Pass-through requests by kind of route and outcome.
    pass_through: Family<PassThroughLabel, Counter>,
    /// Latency of answers to pass-through requests.
    latency: Family<KindLabel, Histogram>,
    /// How late a runtime runs its tasks.
    run_delay: Family<RuntimeLabel, Histogram>,
}

/// Labels of pass-through requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PassThroughLabel {
    kind: &'static str,
    outcome: &'static str,
}

/// Label of the latency of pass-through requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabel {
    kind: &'static str,
}

/// Label of the delay of a runtime.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RuntimeLabel {
    runtime: &'static str,
}

/// Bucket bounds of the latency histograms, dense around the targets of calls and of streams.
const LATENCY_SECONDS: [f64; 12] = [
    0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0,
];

/// Returns an empty latency histogram.
fn latency() -> Histogram {
    Histogram::new(LATENCY_SECONDS)
}

impl Metrics {
    /// Registers all metrics, with values of zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chestnutnotch"),
            requests: OutcomeCounter::default(),
            attempts: OutcomeCounter::default(),
            retries: OutcomeCounter::default(),
            second_attempts: OutcomeCounter::default(),
            bills: OutcomeCounter::default(),
            draws: OutcomeCounter::default(),
            reservations: OutcomeCounter::default(),
            tokens: OutcomeCounter::default(),
            resumes: OutcomeCounter::default(),
            caller_resumes: OutcomeCounter::default(),
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
            framings: OutcomeCounter::default(),
            answer_memory: OutcomeCounter::default(),
            answer_ids: OutcomeCounter::default(),
            not_run: OutcomeCounter::default(),
            faults: OutcomeCounter::default(),
            plan_fetches: OutcomeCounter::default(),
            unconfirmed: Gauge::default(),
            evacuated: Gauge::default(),
            replica: FigureGauge::default(),
            link: FigureGauge::default(),
            loans: OutcomeCounter::default(),
            shortages: OutcomeCounter::default(),
            rates: OutcomeCounter::default(),
            pauses: OutcomeCounter::default(),
            sessions: OutcomeCounter::default(),
            pass_through: Family::default(),
            latency: Family::new_with_constructor(latency),
            run_delay: Family::new_with_constructor(latency),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let counters = [
            ("requests", "Requests by their end", &self.requests),
            ("attempts", "Attempts by their end", &self.attempts),
            ("retries", "Further attempts of one request", &self.retries),
            (
                "second_attempts",
                "Second attempts against slow answers",
                &self.second_attempts,
            ),
            ("bills", "Bills by what became of them", &self.bills),
            ("draws", "Reports to the ledger", &self.draws),
            ("reservations", "Reservations", &self.reservations),
            ("tokens", "Tokens billed and wasted", &self.tokens),
            ("resumes", "Resumed streams", &self.resumes),
            (
                "caller_resumes",
                "Streams that callers take up again",
                &self.caller_resumes,
            ),
            ("cancels", "Cancelled attempts", &self.cancels),
            ("admissions", "Admissions under load", &self.admissions),
            ("claims", "Claims of non-idempotent calls", &self.claims),
            ("known", "Requests with a known key", &self.known),
            ("announcements", "Announcements", &self.announcements),
            ("crashes", "Crash evidence", &self.crashes),
            ("spreads", "Messages between routers", &self.spreads),
            ("connections", "Connections to upstreams", &self.connections),
            ("answer_framings", "Answers by framing", &self.framings),
            (
                "answer_memory",
                "Answers that no memory was left to hold",
                &self.answer_memory,
            ),
            (
                "attempts_not_run",
                "Attempts that did not run by the evidence",
                &self.not_run,
            ),
            (
                "answer_ids",
                "Answers by the id that they repeat",
                &self.answer_ids,
            ),
            ("answer_faults", "Broken answers by fault", &self.faults),
            (
                "plan_fetches",
                "Fetches of newer routes",
                &self.plan_fetches,
            ),
            ("loans", "Requests for other routers' tokens", &self.loans),
            (
                "shortages",
                "Requests refused for lack of tokens",
                &self.shortages,
            ),
            ("upstream_rates", "Rates named by upstreams", &self.rates),
            (
                "upstream_pauses",
                "Pauses that upstreams asked for",
                &self.pauses,
            ),
            (
                "session_placements",
                "Placements of requests that name a session",
                &self.sessions,
            ),
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
            (
                "confirmations_late",
                "Leaves and versions times nodes that have not confirmed them in time",
                &self.unconfirmed,
            ),
            (
                "centres_evacuated",
                "Evacuated data centres, as this node knows them",
                &self.evacuated,
            ),
        ];
        for (name, help, gauge) in gauges {
            self.registry.register(name, help, gauge.clone());
        }
        let help = "State of the control replica, by figure";
        self.registry
            .register("replica", help, self.replica.0.clone());
        let help = "Bytes on the network link of a router, and their queue, by figure";
        self.registry.register("link", help, self.link.0.clone());
        let help = "Pass-through requests by kind of route and end";
        self.registry
            .register("pass_through_requests", help, self.pass_through.clone());
        let help = "Time to the first event or the whole answer";
        self.registry
            .register("answer_seconds", help, self.latency.clone());
        let help = "How late tasks run";
        self.registry
            .register("run_delay_seconds", help, self.run_delay.clone());
    }

    /// Counts a pass-through request by kind of route and outcome.
    pub fn count_pass_through(&self, kind: &'static str, outcome: &'static str) {
        let label = PassThroughLabel { kind, outcome };
        self.pass_through.get_or_create(&label).inc();
    }

    /// Records the time to the first event of a stream, or to the complete answer of a call.
    pub fn observe_latency(&self, kind: &'static str, millis: u64) {
        let seconds = millis as f64 / 1_000.0;
        self.latency
            .get_or_create(&KindLabel { kind })
            .observe(seconds);
    }

    /// Records how late a runtime ran a task.
    pub fn observe_run_delay(&self, runtime: &'static str, delay: Millis) {
        let seconds = delay.0 as f64 / 1_000.0;
        self.run_delay
            .get_or_create(&RuntimeLabel { runtime })
            .observe(seconds);
    }

    /// Returns the metrics in the Prometheus text format.
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
