//! Which routers keep an upstream in full.
//!
//! Rendezvous hashing gives each upstream a few routers of its data centre. A change of the set of
//! routers moves only the upstreams of the router that came or went.

use std::hash::BuildHasher;

use rustc_hash::FxBuildHasher;

use crate::id::Host;
use crate::id::Upstream;

/// The routers of one data centre.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    hosts: Vec<Host>,
}

impl Assignment {
    /// Assignment among these routers.
    pub fn new(hosts: impl IntoIterator<Item = Host>) -> Self {
        let mut hosts: Vec<Host> = hosts.into_iter().collect();
        hosts.sort_unstable();
        hosts.dedup();
        Self { hosts }
    }

    /// Whether `host` is one of the `copies` routers that keep the upstream in full.
    ///
    /// An unknown set of routers or a host outside of it keeps everything.
    pub fn assigns(&self, host: &Host, upstream: &Upstream, copies: usize) -> bool {
        if self.hosts.len() <= copies || !self.hosts.contains(host) {
            return true;
        }
        let own = weight(host, upstream);
        let ahead = self
            .hosts
            .iter()
            .filter(|one| (weight(one, upstream), *one) > (own, host))
            .count();
        ahead < copies
    }
}

/// Mixes the bits, so that names that differ in their last character get unrelated weights.
fn weight(host: &Host, upstream: &Upstream) -> u64 {
    let mut hash = FxBuildHasher.hash_one((host, upstream));
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
