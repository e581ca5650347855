//! Requests that crash the upstreams that run them.

use crate::id::Fingerprint;
use crate::id::Upstream;
use crate::unit::Incarnation;

/// Evidence that an upstream crashed while it ran a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Crash {
    /// Body of the request.
    pub body: Fingerprint,
    /// Where it ran.
    pub upstream: Upstream,
    /// Which start of the upstream ended.
    pub incarnation: Incarnation,
}
