//! Assignment of upstreams to the routers that receive all their announcements.
//!
//! Rendezvous hashing assigns each upstream to a few routers of the data centre. When a router
//! joins or leaves, only the upstreams assigned to that router move.

use std::cmp::Reverse;
use std::hash::BuildHasher;
use std::hash::Hash;

use rustc_hash::FxBuildHasher;

use crate::id::Fingerprint;
use crate::id::Host;
use crate::id::Upstream;

/// Routers of one data centre, among which upstreams are assigned.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    /// Routers, sorted and without duplicates.
    hosts: Vec<Host>,
}

impl Assignment {
    /// Returns an assignment among these routers; duplicates are ignored.
    pub fn new(hosts: impl IntoIterator<Item = Host>) -> Self {
        let mut hosts: Vec<Host> = hosts.into_iter().collect();
        hosts.sort_unstable();
        hosts.dedup();
        Self { hosts }
    }

    /// Returns whether `host` is one of the `copies` routers to which the upstream is assigned.
    ///
    /// If the routers are not known, or `host` is not one of them, every upstream is assigned to
    /// it.
    pub fn assigns(&self, host: &Host, upstream: &Upstream, copies: usize) -> bool {
        if self.hosts.len() <= copies || !self.hosts.contains(host) {
            return true;
        }
        let own = weight(host, upstream);
        let ahead = self
            .hosts
            .iter()
            .filter(|other| (weight(other, upstream), *other) > (own, host))
            .count();
        ahead < copies
    }
}

/// Returns the one of these routers that owns the rate of an upstream.
pub fn rate_owner<'a>(
    hosts: impl IntoIterator<Item = &'a Host>,
    upstream: &Upstream,
) -> Option<&'a Host> {
    let hosts = hosts.into_iter();
    hosts.max_by_key(|host| (weight(host, upstream), *host))
}

/// Returns the `count` of these routers that keep the beginning of a stream, best first.
pub fn origin_keepers<'a>(
    hosts: impl IntoIterator<Item = &'a Host>,
    stream: &Fingerprint,
    count: usize,
) -> Vec<&'a Host> {
    let mut hosts: Vec<&Host> = hosts.into_iter().collect();
    hosts.sort_unstable_by_key(|host| Reverse((weight(host, stream), *host)));
    hosts.truncate(count);
    hosts
}

/// Rendezvous weight of a router for an upstream or a stream. The hash is mixed further, so that names that
/// differ only in their last character get unrelated weights.
fn weight(host: &Host, subject: &impl Hash) -> u64 {
    let mut hash = FxBuildHasher.hash_one((host, subject));
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
