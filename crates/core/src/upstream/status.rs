//! What a router says of the upstreams it knows.

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
    /// Its name.
    pub upstream: Upstream,
    /// Which start.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub centre: DataCentre,
    /// Whether it is used, or why not.
    pub availability: Availability,
    /// Attempts of this router that run on it.
    pub in_flight: u32,
    /// Load that it last reported.
    pub load: Load,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Whether an upstream is used, or why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It takes work.
    Available,
    /// All its slots are taken.
    Full,
    /// It is leaving.
    Leaving,
    /// It was not heard of lately and is asked before use.
    Stale,
    /// It did not answer when it was asked.
    Unresponsive,
    /// Too many of its connections failed.
    Ejected {
        /// When it is tried again, by the router's clock.
        until: Millis,
    },
}

/// An upstream to be asked for its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Its name.
    pub upstream: Upstream,
    /// Which start is known.
    pub incarnation: Incarnation,
    /// Where to ask.
    pub address: SocketAddr,
}

/// Kinds of work that share upstreams, and how many requests of them may run at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// The kinds.
    pub kinds: Vec<Kind>,
    /// Requests at once.
    pub slots: u32,
}
