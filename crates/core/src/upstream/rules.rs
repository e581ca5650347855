//! Settings of a router's [`Table`](super::Table).

use crate::unit::Millis;

/// Settings of a [`Table`](super::Table). Spans are in milliseconds, weights in thousandths of a
/// full upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rules {
    /// An upstream that was not heard of for so long is asked before use.
    pub stale: Millis,
    /// An upstream that was not heard of for so long is forgotten.
    pub forget: Millis,
    /// Most upstreams known at once.
    pub rows: usize,
    /// How many usable upstreams are drawn at random for a choice.
    pub sample: usize,
    /// Whether own attempts are added to the reported load.
    pub own: bool,
    /// Weight of a wholly cached prompt.
    pub affinity: u32,
    /// Most prefixes remembered for an upstream.
    pub prefixes: usize,
    /// Prefixes remembered for all upstreams together; each gets an even part.
    pub room: usize,
    /// How long a prefix counts as cached without a new sign of it.
    pub cached: Millis,
    /// How late an upstream's cache events are at most.
    pub lag: Millis,
    /// Weight of a way to another data centre.
    pub remote: u32,
    /// Connection faults, less half of the successes, that eject an upstream.
    pub faults: u32,
    /// How long the first ejection lasts; each further one twice as long.
    pub ejection: Millis,
    /// Largest part of the upstreams of one kind that ejection takes out, in thousandths.
    pub ejected: u32,
    /// How long an upstream that refused for overload counts as full.
    pub pause: Millis,
    /// How long crash evidence counts.
    pub quarantine: Millis,
    /// How long the caller of a suspect request is told to wait.
    pub settle: Millis,
    /// Up to so many upstreams, every router keeps all of them in full.
    pub full: usize,
    /// Above that, how many routers keep each upstream in full.
    pub copies: usize,
    /// How announcements are ordered.
    pub order: Order,
    /// Whether upstreams are known by their heartbeats alone: they can't be asked, start numbers are
    /// the times of the starts, and the later start at an address owns it.
    pub passive: bool,
    /// Upstreams that break off a request before it is quarantined, where they can't be asked.
    pub breaks: usize,
    /// Prompt tokens that an upstream reads in a millisecond, for the choice by expected wait.
    pub reads: u64,
    /// Milliseconds by which each request in flight delays the next, for the choice by expected wait.
    pub turn: u64,
}

/// How announcements of one upstream are ordered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Order {
    /// By incarnation, then leaving after ready, then sequence.
    Total,
    /// By sequence alone; only for tests that show what the rest is for.
    Sequence,
    /// By incarnation and sequence; only for tests that show what the rest is for.
    Reopening,
    /// The last one heard; only for tests that show what the rest is for.
    Arrival,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            stale: Millis(1_800),
            forget: Millis(600_000),
            rows: 8_192,
            sample: 2,
            own: true,
            affinity: 500,
            prefixes: 512,
            room: 32_768,
            cached: Millis(60_000),
            lag: Millis(2_000),
            remote: 20,
            faults: 3,
            ejection: Millis(1_000),
            ejected: 500,
            pause: Millis(250),
            quarantine: Millis(600_000),
            settle: Millis(1_000),
            full: 64,
            copies: 3,
            order: Order::Total,
            passive: false,
            breaks: 3,
            reads: 40,
            turn: 20,
        }
    }
}
