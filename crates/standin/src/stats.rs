//! What a stand-in counts.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Answer of `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Requests that ran.
    pub requests: u64,
    /// Requests that came after it announced that it leaves.
    pub overdue: u64,
    /// Requests that run or wait now.
    pub running: u64,
    /// Prompt tokens read, all requests together.
    pub prompt: u64,
    /// Tokens produced, all requests together.
    pub produced: u64,
    /// An engine's requests, by the request id.
    pub runs: BTreeMap<String, RunStats>,
    /// How often a plain service ran each idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Calls that a plain service ran without a key.
    pub keyless: u64,
    /// Fencing numbers of the orders obeyed, in the order they came.
    pub orders: Vec<u64>,
}

/// What an engine did under one request id, all attempts together.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunStats {
    /// How often it was started.
    pub starts: u64,
    /// Prompt tokens read.
    pub prompt: u64,
    /// Tokens produced.
    pub produced: u64,
}
