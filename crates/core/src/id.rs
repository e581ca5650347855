//! Names and identities. Names are shared immutable strings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::unit::Incarnation;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// The name as a string slice.
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
    /// A host of the system: the slot a router or control process runs on.
    Host
}
name! {
    /// A data centre.
    DataCentre
}
name! {
    /// A region: data centres that share a control group at the large size.
    Region
}
name! {
    /// A customer of the fleet.
    Workspace
}
name! {
    /// A prepaid token budget.
    Budget
}
name! {
    /// A model that callers ask for.
    Model
}
name! {
    /// A plain service behind the fleet.
    Service
}
name! {
    /// A back end: one model worker or one plain service worker.
    Upstream
}
name! {
    /// A person or program that changes the fleet.
    Operator
}
name! {
    /// Identifies one submission, so that a resend is recognised.
    SubmissionId
}
name! {
    /// A caller's idempotency key, unique within its workspace.
    RequestKey
}

/// Identity of a control replica: a random number written in its data folder.
///
/// An emptied disk gets a new number, so a lost disk never returns under its old identity.
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

/// One start of a router process on its host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouterId {
    /// The host slot.
    pub host: Host,
    /// Which start on that slot, given by the control quorum.
    pub incarnation: Incarnation,
}

impl fmt::Display for RouterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.host, self.incarnation)
    }
}

/// Who holds an allotment.
///
/// Today every holder is a router. At the large size a region holds allotments from the global
/// group and gives them on to its routers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Holder {
    /// A router incarnation.
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

/// A request as the bill and the claim know it: the key is unique within the workspace.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Whose request.
    pub workspace: Workspace,
    /// The caller's idempotency key, or one that the router generated.
    pub key: RequestKey,
}

/// First 16 bytes of the SHA-256 of a request body: tells a resend from another request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Fingerprint of a body.
    pub fn of(body: impl AsRef<[u8]>) -> Self {
        use sha2::Digest;
        let hash = sha2::Sha256::digest(body.as_ref());
        let mut short = [0; 16];
        short.copy_from_slice(&hash[..16]);
        Self(short)
    }
}
