//! Statistics of a stand-in.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Answer to `GET /stats`. Counts are since the start; those of an engine leave out its oldest
/// requests beyond a limit.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Number of requests that ran, or wait to run.
    pub requests: u64,
    /// Number of requests that arrived after a planned stop had begun.
    pub overdue: u64,
    /// Number of requests of an engine that run or wait now.
    pub running: u64,
    /// Prompt tokens of all requests to an engine.
    pub prompt: u64,
    /// Tokens produced for all requests to an engine.
    pub produced: u64,
    /// Requests to an engine, by request id.
    pub runs: BTreeMap<String, RunStats>,
    /// How often a plain service ran each idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Number of calls that a plain service ran without an idempotency key.
    pub keyless: u64,
    /// Fencing numbers of the orders that an engine executed, in the order of execution.
    pub orders: Vec<u64>,
}

/// What an engine did for all attempts with one request id.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunStats {
    /// Number of attempts.
    pub starts: u64,
    /// Prompt tokens of all attempts.
    pub prompt: u64,
    /// Tokens produced by all attempts.
    pub produced: u64,
}
