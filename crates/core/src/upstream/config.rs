//! Settings of a router's [`Table`](super::Table).

use crate::unit::Millis;

/// Settings of a [`Table`](super::Table). Spans are in milliseconds, weights in thousandths of a
/// full upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableConfig {
    /// An upstream that was not heard of for so long is asked before use.
    pub stale_after: Millis,
    /// An upstream that was not heard of for so long is forgotten.
    pub forget_after: Millis,
    /// Most upstreams known at once.
    pub max_upstreams: usize,
    /// How many usable upstreams are drawn at random for a choice.
    pub sample_size: usize,
    /// Whether own attempts are added to the reported load.
    pub count_own: bool,
    /// Weight of a wholly cached prompt.
    pub cache_weight: u32,
    /// Most prefixes remembered for an upstream.
    pub max_prefixes: usize,
    /// Prefixes remembered for all upstreams together; each gets an even part.
    pub total_prefixes: usize,
    /// How long a prefix counts as cached without a new sign of it.
    pub prefix_ttl: Millis,
    /// How late an upstream's cache events are at most.
    pub event_lag: Millis,
    /// Weight of a way to another data centre.
    pub remote_cost: u32,
    /// Connection faults, less half of the successes, that eject an upstream.
    pub fault_limit: u32,
    /// How long the first ejection lasts; each further one twice as long.
    pub base_ejection: Millis,
    /// Largest part of the upstreams of one kind that ejection takes out, in thousandths.
    pub max_ejected: u32,
    /// How long an upstream that refused for overload counts as full.
    pub overload_pause: Millis,
    /// How long crash evidence counts.
    pub evidence_ttl: Millis,
    /// How long the caller of a suspect request is told to wait.
    pub settle_delay: Millis,
    /// Up to so many upstreams, every router keeps all of them in full.
    pub full_limit: usize,
    /// Above that, how many routers keep each upstream in full.
    pub copies: usize,
    /// How announcements are ordered.
    pub order: Order,
    /// Whether upstreams are known by their heartbeats alone: they can't be asked, start numbers are
    /// the times of the starts, and the later start at an address owns it.
    pub heartbeat_only: bool,
    /// Upstreams that break off a request before it is quarantined, where they can't be asked.
    pub break_limit: usize,
    /// Prompt tokens that an upstream reads in a millisecond, for the choice by expected wait.
    pub prefill_rate: u64,
    /// Milliseconds by which each request in flight delays the next, for the choice by expected wait.
    pub request_delay: u64,
}

/// How announcements of one upstream are ordered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Order {
    /// By incarnation, then leaving after ready, then sequence.
    Total,
    /// By sequence alone; only for tests that show what the rest is for.
    Sequence,
    /// By incarnation and sequence; only for tests that show what the rest is for.
    WithoutPhase,
    /// The last one heard; only for tests that show what the rest is for.
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
            overload_pause: Millis(250),
            evidence_ttl: Millis(600_000),
            settle_delay: Millis(1_000),
            full_limit: 64,
            copies: 3,
            order: Order::Total,
            heartbeat_only: false,
            break_limit: 3,
            prefill_rate: 40,
            request_delay: 20,
        }
    }
}
