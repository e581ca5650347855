//! Configuration of a router's [`Table`](super::Table).

use std::net::SocketAddr;

use crate::unit::Millis;

/// Configuration of a [`Table`](super::Table), fixed when the router starts.
///
/// Weights and costs are in thousandths of the load of a full upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableConfig {
    /// Time without an announcement after which an upstream is stale and is probed before use.
    pub stale_after: Millis,
    /// Time without an announcement after which an upstream is removed from the table.
    pub forget_after: Millis,
    /// Maximum number of upstreams in the table.
    pub max_upstreams: usize,
    /// Number of usable upstreams sampled at random for a choice.
    pub sample_size: usize,
    /// Whether the router's own attempts are added to the reported load of an upstream.
    pub count_own: bool,
    /// Weight of a prompt that is cached entirely; 0 leaves the prefix cache out of the choice.
    pub cache_weight: u32,
    /// Maximum number of cached prefixes tracked for one upstream.
    pub max_prefixes: usize,
    /// Maximum number of cached prefixes tracked for all upstreams; each gets an equal share.
    pub total_prefixes: usize,
    /// How long a prefix counts as cached after the last request or cache event with it.
    pub prefix_ttl: Millis,
    /// Maximum delay of an upstream's cache events.
    pub event_lag: Millis,
    /// Cost of an upstream in another data centre.
    pub remote_cost: u32,
    /// Number of connection faults that eject an upstream; each success cancels half a fault.
    pub fault_limit: u32,
    /// Duration of the first ejection; each consecutive one lasts twice as long.
    pub base_ejection: Millis,
    /// Maximum share of the upstreams of one kind that may be ejected, in thousandths.
    pub max_ejected: u32,
    /// How long an upstream counts as full after it refused a request for overload, and did not ask
    /// for a pause.
    pub overload_backoff: Millis,
    /// How long crash evidence against a request is kept.
    pub evidence_ttl: Millis,
    /// How long the caller of a request is told to wait while its suspected crashes are checked.
    pub settle_delay: Millis,
    /// Number of upstreams up to which every router receives the announcements of all of them.
    pub full_limit: usize,
    /// Number of routers that receive the announcements of an upstream above `full_limit`.
    pub copies: usize,
    /// Order of one upstream's announcements.
    pub order: Order,
    /// Whether upstreams are known by their heartbeats alone. They can't be probed, their
    /// incarnations are the times of their starts, and the latest start at an address owns it.
    pub heartbeat_only: bool,
    /// Address on which this router takes requests, if it is a router. Announcements with it are
    /// ignored, as it would send requests to itself.
    pub own_address: Option<SocketAddr>,
    /// Number of upstreams that break off a request before it is quarantined, with
    /// `heartbeat_only`.
    pub break_limit: usize,
    /// Prompt tokens that an upstream processes per millisecond, for the choice by expected wait.
    pub prefill_rate: u64,
    /// Delay that each request in flight adds to the next, in milliseconds, for the choice by
    /// expected wait.
    pub request_delay: u64,
}

/// Order of one upstream's announcements. All but `Total` are wrong, and exist for tests that show
/// which fault each part of the order prevents.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Order {
    /// By incarnation, then by phase (leaving after ready), then by sequence number.
    Total,
    /// By sequence number alone; for tests only.
    Sequence,
    /// By incarnation and sequence number; for tests only.
    WithoutPhase,
    /// By arrival: the last one received wins; for tests only.
    Arrival,
}

impl Default for TableConfig {
    fn default() -> Self {
        Self {
            stale_after: Millis(1_800),
            forget_after: Millis(600_000),
            max_upstreams: 8_192,
            sample_size: 2,
            count_own: true,
            cache_weight: 500,
            max_prefixes: 512,
            total_prefixes: 32_768,
            prefix_ttl: Millis(60_000),
            event_lag: Millis(2_000),
            remote_cost: 20,
            fault_limit: 3,
            base_ejection: Millis(1_000),
            max_ejected: 500,
            overload_backoff: Millis(250),
            evidence_ttl: Millis(600_000),
            settle_delay: Millis(1_000),
            full_limit: 64,
            copies: 3,
            order: Order::Total,
            heartbeat_only: false,
            own_address: None,
            break_limit: 3,
            prefill_rate: 40,
            request_delay: 20,
        }
    }
}
