//! Settings of a stand-in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Model;
use chestnutnotch_core::id::Service;
use chestnutnotch_core::id::Upstream;
use serde::Deserialize;
use serde::Serialize;

use crate::faults::Faults;

/// Settings of one stand-in: a model engine if `models` is set, a plain service if `service` is
/// set.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, the same for all its starts.
    pub name: Upstream,
    /// Address that it serves on.
    pub listen: SocketAddr,
    /// Data centre that it announces.
    pub centre: DataCentre,
    /// Addresses of the routers to which it sends announcements.
    #[serde(default)]
    pub routers: Vec<SocketAddr>,
    /// Models that an engine has loaded when it starts.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Name of the plain service that it provides.
    #[serde(default)]
    pub service: Option<Service>,
    /// Number of each item that a plain service has in stock. If empty, it has a default number of
    /// every item.
    #[serde(default)]
    pub stock: BTreeMap<Arc<str>, u32>,
    /// Number of requests that an engine runs at the same time. A plain service only announces it.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Number of requests that may wait for a slot of an engine. Further ones are refused with
    /// status 503.
    #[serde(default = "queue")]
    pub queue: u32,
    /// Time that an engine takes for each token, in milliseconds. Zero produces all tokens at once.
    #[serde(default)]
    pub delay: u64,
    /// Time between two announcements, in milliseconds.
    #[serde(default = "announce")]
    pub announce: u64,
    /// Minimum time for which it goes on serving after it announced that it is leaving, in
    /// milliseconds.
    #[serde(default = "linger")]
    pub linger: u64,
    /// Distinguishes this start from earlier ones; by default the Unix time in milliseconds.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Faults that are on from the start.
    #[serde(default)]
    pub faults: Faults,
}

impl Settings {
    /// Returns default settings. The caller still has to set either `models` or `service`.
    pub fn new(name: &str, listen: SocketAddr, centre: &str) -> Self {
        Self {
            name: name.into(),
            listen,
            centre: centre.into(),
            routers: Vec::new(),
            models: Vec::new(),
            service: None,
            stock: BTreeMap::new(),
            slots: slots(),
            queue: queue(),
            delay: 0,
            announce: announce(),
            linger: linger(),
            incarnation: None,
            faults: Faults::default(),
        }
    }
}

/// Defaults of the settings with the same names.
const SLOTS: u32 = 64;
const QUEUE: u32 = 4_096;
const ANNOUNCE_MILLIS: u64 = 500;
const LINGER_MILLIS: u64 = 1_000;

fn slots() -> u32 {
    SLOTS
}

fn queue() -> u32 {
    QUEUE
}

fn announce() -> u64 {
    ANNOUNCE_MILLIS
}

fn linger() -> u64 {
    LINGER_MILLIS
}
