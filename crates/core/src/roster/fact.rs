//! What nodes tell each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentre;
use crate::id::Fingerprint;
use crate::id::Host;
use crate::id::Upstream;
use crate::unit::Incarnation;
use crate::upstream::Announcement;

/// What a node sends in one piece.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
    /// Whether the sender knows little and asks for all that the receiver knows.
    pub asks: bool,
    /// Facts.
    pub facts: Vec<Fact>,
}

/// One fact.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fact {
    /// About a node.
    Node(NodeFact),
    /// An upstream's account of itself.
    Upstream(Box<Announcement>),
    /// A request broke off at an upstream.
    Crash {
        /// The request.
        body: Fingerprint,
        /// Where it ran.
        upstream: Upstream,
        /// Which start of the upstream.
        incarnation: Incarnation,
    },
}

impl Fact {
    /// Whether it has the same subject as another one, so that the newer of them is enough.
    pub(super) fn is_about(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Node(one), Self::Node(other)) => one.address == other.address,
            (Self::Upstream(one), Self::Upstream(other)) => one.upstream == other.upstream,
            (Self::Crash { .. }, Self::Crash { .. }) => self == other,
            _ => false,
        }
    }
}

/// A node's account of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeFact {
    /// Name of its host.
    pub host: Host,
    /// What it does.
    pub role: Role,
    /// Data centre of its host.
    pub centre: DataCentre,
    /// Where it takes packets; identifies the node.
    pub address: SocketAddr,
    /// Where it answers calls of other nodes.
    pub rpc: SocketAddr,
    /// Which start; a higher one replaces a lower one.
    pub start: u64,
    /// Rises while it lives.
    pub beat: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Version of the pass-through routes that it has.
    pub plan: u64,
}

/// What a node does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// It serves callers.
    Router,
    /// It holds a control replica.
    Control,
    /// It takes heartbeats and routes, and holds no replica.
    Registry,
}

impl NodeFact {
    /// Whether `self` is newer than `known`, an account of the same node.
    pub fn replaces(&self, known: &Self) -> bool {
        (self.start, self.beat) > (known.start, known.beat)
    }
}
