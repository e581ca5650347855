//! Announcements (heartbeats) of upstreams.
//!
//! They are soft state: they keep a router's view of its upstreams fresh, and are never the
//! authority for anything that has to be exact.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentre;
use crate::id::Model;
use crate::id::Service;
use crate::id::Upstream;
use crate::unit::Incarnation;

/// State that an upstream reports of itself, posted as JSON to any entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the upstream, the same across its restarts.
    pub upstream: Upstream,
    /// Number of this start of the upstream; a higher one supersedes a lower one.
    pub incarnation: Incarnation,
    /// Sequence number; rises with each announcement of one incarnation.
    pub seq: u64,
    /// IP address and port on which the upstream serves requests.
    pub address: std::net::SocketAddr,
    /// Data centre in which the upstream runs.
    pub centre: DataCentre,
    /// Whether the upstream accepts new requests.
    pub phase: Phase,
    /// Models or service that the upstream serves.
    pub offer: Offer,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Load when the announcement was made.
    #[serde(default)]
    pub load: Load,
    /// Whether the upstream refuses orders that carry an outdated fencing token.
    #[serde(default)]
    pub fences: bool,
    /// Hashes of prompt prefixes cached since the last announcement. May be late and incomplete.
    #[serde(default)]
    pub cached: Vec<u64>,
    /// Hashes of prompt prefixes evicted since the last announcement.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream drains: it finishes its requests and accepts no new ones. Final for this
    /// incarnation.
    Leaving,
}

/// What an upstream serves.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Offer {
    /// Models loaded on a model engine.
    Models(Vec<Loaded>),
    /// A service without models.
    Service(Service),
}

/// A model that is loaded on an engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Loaded {
    /// Name of the model.
    pub model: Model,
    /// Adapter loaded with the model, if any.
    #[serde(default)]
    pub adapter: Option<Arc<str>>,
    /// Version of the model.
    #[serde(default)]
    pub version: u32,
}

/// Load as the upstream reported it; lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued in the engine.
    pub waiting: u32,
    /// Share of the cache memory in use, in thousandths.
    pub cache: u16,
}

/// Kind of upstream that a request needs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// An engine that has this model loaded with this adapter, or without one if `None`.
    Model(Model, Option<Arc<str>>),
    /// An upstream that serves this service.
    Service(Service),
}
