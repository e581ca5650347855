//! Which service and software version began each stream that a caller may take up again.
//!
//! The router that begins a stream keeps them, and tells a few keepers, chosen by the stream's
//! identifier, before it passes on the first event. A router at which a caller takes the stream up asks
//! them. What nobody kept is not known.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Fingerprint;
use crate::id::Release;
use crate::id::Service;
use crate::map::Map;
use crate::unit::Millis;

use super::announce::MAX_NAME_BYTES;
use super::release;

/// Time for which the version of a stream is kept. A caller gives up a stream long before.
pub const ORIGIN_TTL: Millis = Millis(120_000);

/// Most streams whose versions a node keeps; the oldest ones are dropped first.
pub const MAX_ORIGINS: usize = 65_536;

/// The software of an upstream: versions of two services have nothing in common.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Software {
    /// Service that the upstream provides.
    pub service: Service,
    /// Its version.
    pub release: Release,
}

impl Software {
    fn is_valid(&self) -> bool {
        let length = self.service.as_str().len();
        release::is_valid(&self.release) && length <= MAX_NAME_BYTES
    }
}

/// What is kept of the beginning of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Origin {
    /// An upstream with this software began it.
    Software(Software),
    /// Two streams of this identifier began at different software.
    Ambiguous,
}

/// The software that began a stream, for its keepers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginNotice {
    /// Identifier of the stream.
    pub stream: Fingerprint,
    /// The software.
    pub software: Software,
}

/// What a node knows of the beginning of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginAnswer {
    /// Identifier of the stream.
    pub stream: Fingerprint,
    /// What is known; `None` if nothing.
    pub origin: Option<Origin>,
}

/// The beginnings of streams that a node keeps.
#[derive(Clone, Debug, Default)]
pub struct OriginBook {
    known: Map<Fingerprint, KnownOrigin>,
    /// Identifiers in order of their arrival.
    arrivals: VecDeque<Fingerprint>,
}

#[derive(Clone, Debug)]
struct KnownOrigin {
    origin: Origin,
    heard_at: Millis,
}

impl OriginBook {
    /// Records what is known of the beginning of a stream. Names that no upstream can have stated are
    /// ignored.
    pub fn record(&mut self, now: Millis, stream: Fingerprint, origin: Origin) {
        if matches!(&origin, Origin::Software(software) if !software.is_valid()) {
            return;
        }
        self.expire(now);
        if let Some(known) = self.known.get_mut(&stream) {
            if known.origin != origin {
                known.origin = Origin::Ambiguous;
            }
            return;
        }
        if self.arrivals.len() >= MAX_ORIGINS {
            self.remove_oldest();
        }
        let heard_at = now;
        self.known.insert(stream, KnownOrigin { origin, heard_at });
        self.arrivals.push_back(stream);
    }

    /// Returns what is known of the beginning of a stream.
    pub fn get(&self, now: Millis, stream: &Fingerprint) -> Option<&Origin> {
        let known = self.known.get(stream)?;
        (now < known.heard_at + ORIGIN_TTL).then_some(&known.origin)
    }

    /// Removes expired entries.
    fn expire(&mut self, now: Millis) {
        while let Some(stream) = self.arrivals.front()
            && self.get(now, stream).is_none()
        {
            self.remove_oldest();
        }
    }

    /// Returns the number of streams that are kept.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn remove_oldest(&mut self) {
        if let Some(stream) = self.arrivals.pop_front() {
            self.known.remove(&stream);
        }
    }
}
