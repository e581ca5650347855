//! Gossip messages and the facts that they carry.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::delivery::Receipt;
use crate::evacuation::Evacuations;
use crate::id::DataCentre;
use crate::id::Fingerprint;
use crate::id::Host;
use crate::id::Upstream;
use crate::unit::Incarnation;
use crate::upstream::Announcement;
use crate::upstream::Evidence;
use crate::upstream::Finding;
use crate::upstream::LeaveNotice;
use crate::upstream::Proof;
use crate::upstream::ReleaseNotice;
use crate::upstream::origin::OriginAnswer;
use crate::upstream::origin::OriginNotice;
use crate::upstream::rate::RateNotice;
use crate::upstream::rate::ShareGrant;
use crate::upstream::rate::ShareRequest;

/// One gossip message, sent as a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
    /// Whether the sender asks for everything that the receiver knows, as it has heard from nobody
    /// recently.
    pub asks: bool,
    /// Facts in no particular order.
    pub facts: Vec<Fact>,
}

/// One item of gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fact {
    /// The state of a node.
    Node(NodeFact),
    /// The latest announcement of an upstream.
    Upstream(Box<Announcement>),
    /// An upstream crashed or dropped the connection while it ran a request.
    Crash {
        /// Fingerprint of the request's body.
        body: Fingerprint,
        /// Upstream that ran the request.
        upstream: Upstream,
        /// Incarnation of the upstream at that time.
        incarnation: Incarnation,
    },
    /// Evidence that an upstream crashed under a request or a part of a prompt.
    Evidence(Box<Evidence>),
    /// Proof that a part of a prompt is sound.
    Proof(Proof),
    /// The rate that an upstream names.
    Rate(RateNotice),
    /// A request to the receiver for a share of a rate; not passed on.
    ShareRequest(Box<ShareRequest>),
    /// The answer to such a request; not passed on.
    ShareGrant(Box<ShareGrant>),
    /// Software versions of starts of upstreams.
    Releases(Vec<ReleaseNotice>),
    /// The beginning of a stream, for its keepers; not passed on.
    Origin(Box<OriginNotice>),
    /// A question for the beginning of a stream; not passed on.
    OriginRequest(Fingerprint),
    /// The answer to such a question; not passed on.
    OriginAnswer(Box<OriginAnswer>),
    /// Leaves of upstreams.
    Leaves(Vec<LeaveNotice>),
    /// Numbers of the other facts of the packet, which the receiver confirms; not passed on.
    Delivery(Receipt),
    /// Confirms facts of an earlier packet of the receiver; not passed on.
    Receipt(Receipt),
    /// The evacuated data centres.
    Evacuations(Evacuations),
}

impl From<Finding> for Fact {
    fn from(finding: Finding) -> Self {
        match finding {
            Finding::Evidence(evidence) => Self::Evidence(Box::new(evidence)),
            Finding::Proof(proof) => Self::Proof(proof),
        }
    }
}

impl Fact {
    /// Returns whether both facts have the same subject, so that the newer one replaces the older.
    pub(super) fn has_same_subject(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Node(one), Self::Node(other)) => one.address == other.address,
            (Self::Upstream(one), Self::Upstream(other)) => one.upstream == other.upstream,
            (Self::Crash { .. }, Self::Crash { .. }) => self == other,
            (Self::Evidence(one), Self::Evidence(other)) => {
                one.subject == other.subject
                    && one.upstream == other.upstream
                    && one.incarnation == other.incarnation
            }
            (Self::Proof(one), Self::Proof(other)) => one.part == other.part,
            (Self::Rate(one), Self::Rate(other)) => one.upstream == other.upstream,
            (Self::Releases(one), Self::Releases(other)) => {
                let one = one.iter().map(|notice| &notice.upstream);
                one.eq(other.iter().map(|notice| &notice.upstream))
            }
            (Self::Leaves(one), Self::Leaves(other)) => {
                let one = one.iter().map(|notice| &notice.upstream);
                one.eq(other.iter().map(|notice| &notice.upstream))
            }
            (Self::Evacuations(_), Self::Evacuations(_)) => true,
            _ => false,
        }
    }

    /// Returns whether both facts say the same of their subject. Heartbeats and ages, which change all
    /// the time, don't count.
    pub(super) fn states_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Node(one), Self::Node(other)) => {
                one.address == other.address
                    && one.plan == other.plan
                    && one.leaving == other.leaving
            }
            (Self::Leaves(one), Self::Leaves(other)) => {
                let one = one.iter().map(|notice| (&notice.upstream, notice.starts));
                one.eq(other.iter().map(|notice| (&notice.upstream, notice.starts)))
            }
            _ => self == other,
        }
    }

    /// Returns whether a node found the fact out about a request or a part of a prompt.
    pub(super) fn is_finding(&self) -> bool {
        match self {
            Self::Crash { .. } | Self::Evidence(_) | Self::Proof(_) => true,
            Self::Node(_)
            | Self::Upstream(_)
            | Self::Rate(_)
            | Self::ShareRequest(_)
            | Self::ShareGrant(_)
            | Self::Releases(_)
            | Self::Origin(_)
            | Self::OriginRequest(_)
            | Self::OriginAnswer(_)
            | Self::Leaves(_)
            | Self::Delivery(_)
            | Self::Receipt(_)
            | Self::Evacuations(_) => false,
        }
    }

    /// Returns whether nodes that can decode other extensions may not be able to decode this one.
    pub(super) fn is_late_extension(&self) -> bool {
        matches!(self, Self::Evacuations(_))
    }

    /// Returns whether nodes of earlier versions can't decode the fact.
    pub(super) fn is_extension(&self) -> bool {
        match self {
            Self::Node(_) | Self::Upstream(_) | Self::Crash { .. } => false,
            Self::Evidence(_)
            | Self::Proof(_)
            | Self::Rate(_)
            | Self::ShareRequest(_)
            | Self::ShareGrant(_)
            | Self::Releases(_)
            | Self::Origin(_)
            | Self::OriginRequest(_)
            | Self::OriginAnswer(_)
            | Self::Leaves(_)
            | Self::Delivery(_)
            | Self::Receipt(_)
            | Self::Evacuations(_) => true,
        }
    }
}

/// State of a node, published by the node itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeFact {
    /// Name of the node's host.
    pub host: Host,
    /// Service that the node provides.
    pub role: Role,
    /// Data centre of the host.
    pub centre: DataCentre,
    /// Address for gossip packets; identifies the node.
    pub address: SocketAddr,
    /// Address for gRPC calls from other nodes.
    pub rpc: SocketAddr,
    /// Generation of the process: Unix time of its start in milliseconds, raised if the node learns
    /// of a higher one for its address. A higher generation replaces a lower one.
    pub start: u64,
    /// Heartbeat counter within the generation; rises with every tick and every change.
    pub beat: u64,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// Version of the pass-through routes that the node has; zero for none.
    pub plan: u64,
}

/// Service that a node provides.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Serves callers.
    Router,
    /// Runs a control replica.
    Control,
    /// Accepts upstream announcements and published routes, but runs no control replica.
    Registry,
}

impl NodeFact {
    /// Returns whether `self` is newer than `known`, which describes the same node.
    pub fn is_newer_than(&self, known: &Self) -> bool {
        (self.start, self.beat) > (known.start, known.beat)
    }
}
