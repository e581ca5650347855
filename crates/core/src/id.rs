//! Names and identifiers. A name is a shared immutable string, cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::unit::Incarnation;

/// Defines the type of a name. It is serialized as a plain string.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name; its form is not checked.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(name.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// A host of the fleet: the slot that a router or control process runs in.
    Host
}
name! {
    /// A data centre, as hosts and upstreams name theirs.
    DataCentre
}
name! {
    /// A region: data centres that share a control group in a fleet of several groups.
    Region
}
name! {
    /// A customer of the fleet, identified by its bearer keys.
    Workspace
}
name! {
    /// A prepaid token budget.
    Budget
}
name! {
    /// A model that chat requests name.
    Model
}
name! {
    /// A service that upstreams provide, as calls and pass-through routes name it.
    Service
}
name! {
    /// A back end: one worker process of a model or a plain service.
    Upstream
}
name! {
    /// Version of an upstream's software, as it states it. Versions are equal or not; they have no
    /// order.
    Release
}
name! {
    /// A person or program that changes the fleet's configuration or state; named in the audit
    /// trail.
    Operator
}
name! {
    /// Identifier of an operator's submission, by which a resent one is recognised.
    SubmissionId
}
name! {
    /// A caller's idempotency key, unique within its workspace.
    RequestKey
}

/// Identifier of a part of a prompt. Requests whose prompts have text in common share parts.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct PromptPart(pub u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Identifier of a control replica: a random number stored in its data directory.
///
/// A replica on an emptied disk gets a new identifier, as one that has lost its log must not vote
/// as the replica that wrote it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifier of one run of a router process on its host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouterId {
    /// Host that the router runs on.
    pub host: Host,
    /// Number of the run on that host, assigned by the control quorum.
    pub incarnation: Incarnation,
}

impl fmt::Display for RouterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.host, self.incarnation)
    }
}

/// Holder of an allotment: a part of a budget that it may spend without asking the ledger.
///
/// At present every holder is a router. In a fleet of several control groups, a region holds
/// allotments from the global group and divides them among its routers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Holder {
    /// One run of a router.
    Router(RouterId),
    /// A regional control group.
    Region(Region),
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Router(id) => id.fmt(f),
            Self::Region(region) => region.fmt(f),
        }
    }
}

/// Identifier of a request in bills and claims.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// The caller's idempotency key, or a key that the router generated; unique within the
    /// workspace.
    pub key: RequestKey,
}

/// First 16 bytes of a SHA-256, for instance of a request body: tells a resent request from another
/// one with the same key.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 16]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a body.
    pub fn of(body: impl AsRef<[u8]>) -> Self {
        use sha2::Digest;
        let hash = sha2::Sha256::digest(body.as_ref());
        let mut short = [0; 16];
        short.copy_from_slice(&hash[..16]);
        Self(short)
    }
}
