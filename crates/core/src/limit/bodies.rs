//! Shares of the memory for request bodies.
//!
//! Answers crowds of callers that send large bodies at once, or stop just short of the end and stay:
//! the largest body that is still being sent gives way to smaller ones.

use std::collections::BTreeMap;

/// Size up to which a body may use the reserved part of the memory, in bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the memory that is reserved for small bodies.
const RESERVE_DIVISOR: usize = 8;

/// Identifies a body. Later bodies have higher numbers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BodyId(u64);

/// Outcome of a request for more memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Growth {
    /// Granted, after these bodies gave way. They hold nothing any more.
    Granted(Vec<BodyId>),
    /// There is no room.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    bytes: usize,
    is_complete: bool,
}

/// Bytes that each request body holds, bounded in sum.
#[derive(Clone, Debug)]
pub struct BodyShares {
    total: usize,
    held: usize,
    next: u64,
    shares: BTreeMap<BodyId, Share>,
}

impl BodyShares {
    /// Creates shares of a memory of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self {
            total,
            held: 0,
            next: 0,
            shares: BTreeMap::new(),
        }
    }

    /// Returns the bytes that all bodies hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a body that holds nothing yet.
    pub fn begin(&mut self) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        let share = Share {
            bytes: 0,
            is_complete: false,
        };
        self.shares.insert(id, share);
        id
    }

    /// Lets a body hold `bytes` in all. Refused for a body that gave way. A body that is alone is
    /// never refused.
    pub fn grow(&mut self, id: BodyId, bytes: usize) -> Growth {
        let Some(own) = self.shares.get(&id).map(|share| share.bytes) else {
            return Growth::Refused;
        };
        let limit = match bytes <= SMALL_BODY_BYTES {
            true => self.total,
            false => self.total - self.total / RESERVE_DIVISOR,
        };
        let others = self.held - own;
        let mut excess = match others {
            0 => 0,
            others => (others + bytes).saturating_sub(limit),
        };
        let mut victims = Vec::new();
        if excess > 0 {
            for (size, victim) in self.incoming_above(bytes) {
                excess = excess.saturating_sub(size);
                victims.push(victim);
                if excess == 0 {
                    break;
                }
            }
        }
        if excess > 0 {
            return Growth::Refused;
        }
        for victim in &victims {
            self.end(*victim);
        }
        if let Some(share) = self.shares.get_mut(&id) {
            self.held = self.held - own + bytes;
            share.bytes = bytes;
        }
        Growth::Granted(victims)
    }

    /// Returns the bodies of more than `bytes` bytes that are still being sent, largest first.
    fn incoming_above(&self, bytes: usize) -> Vec<(usize, BodyId)> {
        let incoming = self.shares.iter().filter(|(_, share)| !share.is_complete);
        let larger = incoming.filter(|(_, share)| share.bytes > bytes);
        let mut larger: Vec<_> = larger.map(|(id, share)| (share.bytes, *id)).collect();
        larger.sort_unstable_by(|left, right| right.cmp(left));
        larger
    }

    /// Records that a body is complete. It keeps its share until [`BodyShares::end`]. Returns false
    /// if it gave way before.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let share = self.shares.get_mut(&id);
        share.map(|share| share.is_complete = true).is_some()
    }

    /// Ends the body that has been on its way longest, and returns it.
    pub fn end_oldest(&mut self) -> Option<BodyId> {
        let mut incoming = self.shares.iter().filter(|(_, share)| !share.is_complete);
        let id = *incoming.next()?.0;
        self.end(id);
        Some(id)
    }

    /// Frees the share of a body. Without effect for a body that gave way.
    pub fn end(&mut self, id: BodyId) {
        if let Some(share) = self.shares.remove(&id) {
            self.held -= share.bytes;
        }
    }
}
