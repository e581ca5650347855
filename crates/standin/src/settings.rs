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

/// Settings of one stand-in: an engine if it names models, a plain service if it names one.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name, the same over all its starts.
    pub name: Upstream,
    /// Address that it serves on.
    pub listen: SocketAddr,
    /// Where it stands.
    pub centre: DataCentre,
    /// Addresses of routers that it announces itself to.
    #[serde(default)]
    pub routers: Vec<SocketAddr>,
    /// Models that an engine has loaded at its start.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The plain service that it is a worker of.
    #[serde(default)]
    pub service: Option<Service>,
    /// What a plain service has to lend, with how many of each.
    #[serde(default)]
    pub stock: BTreeMap<Arc<str>, u32>,
    /// Requests that run at once.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Requests that wait for a slot before others are refused as overload.
    #[serde(default = "queue")]
    pub queue: u32,
    /// Time for each token, in milliseconds.
    #[serde(default)]
    pub delay: u64,
    /// Time between two announcements, in milliseconds.
    #[serde(default = "announce")]
    pub announce: u64,
    /// Least time that it goes on serving after it announced that it leaves, in milliseconds.
    #[serde(default = "linger")]
    pub linger: u64,
    /// Which start it is; by default the Unix time in milliseconds.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Faults that are on from the start.
    #[serde(default)]
    pub faults: Faults,
}

impl Settings {
    /// Defaults for all but what identifies it. It still needs models or a service.
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
