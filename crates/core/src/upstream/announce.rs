//! Announcements (heartbeats) of upstreams.
//!
//! They are soft state: they keep a router's view of its upstreams fresh, and are never the
//! authority for anything that has to be exact.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::id::DataCentre;
use crate::id::Model;
use crate::id::Service;
use crate::id::Upstream;
use crate::unit::Incarnation;

/// Longest name in an announcement, in bytes, so that the announcements of a gossip packet fit in a
/// datagram.
pub const MAX_NAME_BYTES: usize = 128;

/// Most slots of an upstream. Announcements with more would attract all requests.
pub const MAX_SLOTS: u32 = 65_536;

/// Highest incarnation. Milliseconds since 1970 stay far below it.
pub const MAX_INCARNATION: u64 = (1 << 53) - 1;

/// Highest sequence number, so that a later one is always possible.
pub const MAX_SEQUENCE: u64 = u64::MAX / 2;

/// Why an announcement is refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AnnouncementError {
    /// The name of the upstream is empty, too long or no valid header value.
    #[error("the name of an upstream has to be 1 to {MAX_NAME_BYTES} visible ASCII characters")]
    Upstream,
    /// Another name is empty, too long or has control characters.
    #[error("{0} has to be 1 to {MAX_NAME_BYTES} bytes without control characters")]
    Name(&'static str),
    /// The address or its port is one that no upstream can have.
    #[error("{0} is no address of an upstream")]
    Address(SocketAddr),
    /// There are no slots, or too many.
    #[error("{0} slots are not 1 to {MAX_SLOTS}")]
    Slots(u32),
    /// The incarnation or the sequence number is too high.
    #[error("{name} {value} is too high")]
    Number {
        /// Name of the field.
        name: &'static str,
        /// Its value.
        value: u64,
    },
}

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

impl Announcement {
    /// Checks that an upstream can have sent this.
    ///
    /// Each entrance of announcements checks them: an odd one, passed on by gossip, would harm
    /// others.
    ///
    /// # Errors
    ///
    /// See [`AnnouncementError`].
    pub fn check(&self) -> Result<(), AnnouncementError> {
        if !is_upstream_name(&self.upstream) {
            return Err(AnnouncementError::Upstream);
        }
        check_name("the data centre", self.centre.as_str())?;
        match &self.offer {
            Offer::Service(service) => check_name("the service", service.as_str())?,
            Offer::Models(models) => models.iter().try_for_each(Loaded::check)?,
        }
        if !is_unicast(self.address) {
            return Err(AnnouncementError::Address(self.address));
        }
        // An upstream that takes no more work may say so in both fields.
        let least = u32::from(self.phase == Phase::Ready);
        if !(least..=MAX_SLOTS).contains(&self.slots) {
            return Err(AnnouncementError::Slots(self.slots));
        }
        check_number("incarnation", self.incarnation.0, MAX_INCARNATION)?;
        check_number("sequence number", self.seq, MAX_SEQUENCE)
    }
}

/// Returns whether an upstream can serve requests on an address.
fn is_unicast(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// Returns whether an upstream can have this name, which is sent in a header.
pub(super) fn is_upstream_name(upstream: &Upstream) -> bool {
    let id = upstream.as_str();
    has_name_length(id) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

fn has_name_length(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

fn check_name(field: &'static str, name: &str) -> Result<(), AnnouncementError> {
    match has_name_length(name) && !name.chars().any(char::is_control) {
        true => Ok(()),
        false => Err(AnnouncementError::Name(field)),
    }
}

fn check_number(name: &'static str, value: u64, most: u64) -> Result<(), AnnouncementError> {
    match value <= most {
        true => Ok(()),
        false => Err(AnnouncementError::Number { name, value }),
    }
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

impl Loaded {
    fn check(&self) -> Result<(), AnnouncementError> {
        check_name("a model", self.model.as_str())?;
        match &self.adapter {
            Some(adapter) => check_name("an adapter", adapter),
            None => Ok(()),
        }
    }
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

/// Load that came with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests at the upstream.
    pub load: Load,
    /// How long work takes on its machine at the moment, in percent of the usual time, if told.
    pub work_percent: Option<u32>,
}

impl From<Load> for LoadReport {
    fn from(load: Load) -> Self {
        Self {
            load,
            work_percent: None,
        }
    }
}

/// Kind of upstream that a request needs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// An engine that has this model loaded with this adapter, or without one if `None`.
    Model(Model, Option<Arc<str>>),
    /// An upstream that serves this service.
    Service(Service),
}
