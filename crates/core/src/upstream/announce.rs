//! What upstreams say of themselves. Soft state: freshness, never authority.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentre;
use crate::id::Model;
use crate::id::Service;
use crate::id::Upstream;
use crate::unit::Incarnation;

/// An upstream's own account of itself; posted as JSON to any entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Its name, the same over all its starts.
    pub upstream: Upstream,
    /// Which start; a higher one replaces a lower one.
    pub incarnation: Incarnation,
    /// Rises with each announcement of one start.
    pub seq: u64,
    /// IP address and port that it serves on.
    pub address: std::net::SocketAddr,
    /// Where it stands.
    pub centre: DataCentre,
    /// Whether it takes work.
    pub phase: Phase,
    /// What it serves.
    pub offer: Offer,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How busy it was when it spoke.
    #[serde(default)]
    pub load: Load,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fences: bool,
    /// Hashes of prompt prefixes cached since the last announcement; late and with gaps.
    #[serde(default)]
    pub cached: Vec<u64>,
    /// Hashes of prompt prefixes evicted since the last announcement.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It does.
    Ready,
    /// It finishes what it has and takes nothing new. Final for this incarnation.
    Leaving,
}

/// What an upstream serves.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Offer {
    /// A model engine with the models loaded on it.
    Models(Vec<Loaded>),
    /// A plain service.
    Service(Service),
}

/// A model as loaded on an engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Loaded {
    /// Which model.
    pub model: Model,
    /// Its adapter, if any.
    #[serde(default)]
    pub adapter: Option<Arc<str>>,
    /// Its version.
    #[serde(default)]
    pub version: u32,
}

/// Reported load; lags behind what is true.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Part of the cache memory in use, in thousandths.
    pub cache: u16,
}

/// Which kind of upstream a request needs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// An engine with this model and, if named, this adapter.
    Model(Model, Option<Arc<str>>),
    /// A worker of this plain service.
    Service(Service),
}
