//! State of the upstreams as a router reports it to operators, admission control and metrics.

use std::net::SocketAddr;

use crate::id::DataCentre;
use crate::id::Upstream;
use crate::unit::Incarnation;
use crate::unit::Millis;

use super::announce::Kind;
use super::announce::Load;

/// State of one upstream at one router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Its latest known start.
    pub incarnation: Incarnation,
    /// Data centre in which it runs.
    pub centre: DataCentre,
    /// Whether it accepts requests of this router, or why not.
    pub availability: Availability,
    /// Number of attempts of this router that run on it.
    pub in_flight: u32,
    /// Load that it reported last.
    pub load: Load,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

/// Whether a router sends requests to an upstream, or why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// Requests are sent to it.
    Available,
    /// All its slots are taken.
    Full,
    /// It drains and accepts no new requests.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It asked this router for a pause.
    Paused {
        /// When the pause ends, by the router's clock.
        until: Millis,
    },
    /// Its state is outdated or in doubt; it is probed before use.
    Stale,
    /// It did not answer the last probe.
    Unresponsive,
    /// The circuit breaker ejected it after too many faults.
    Ejected {
        /// When the ejection ends, by the router's clock.
        until: Millis,
    },
}

/// A request to an upstream for its current announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Upstream to probe.
    pub upstream: Upstream,
    /// Its latest known start.
    pub incarnation: Incarnation,
    /// Address to which the probe is sent.
    pub address: SocketAddr,
}

/// Kinds of requests that share upstreams, with the capacity that they share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Kinds of requests that the pool serves.
    pub kinds: Vec<Kind>,
    /// Number of requests that this router may run at once.
    pub slots: u32,
}
