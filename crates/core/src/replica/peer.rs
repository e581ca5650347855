//! What a leader knows of another member.

use std::sync::Arc;

use super::log::Snapshot;
use crate::unit::Index;

/// Appends with entries that may be unanswered at one time.
pub const FLIGHT_APPENDS: u32 = 32;

/// What a leader knows of another member.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Highest entry known to be synced there.
    pub matched: Index,
    /// Next entry to send.
    pub next: Index,
    /// How entries are sent.
    pub flow: Flow,
    /// Latest round that it answered.
    pub round: u64,
    /// Whether it answered since the last check.
    pub active: bool,
    /// Checks in a row without an answer, up to the bound that matters.
    pub missed: u32,
}

/// How entries are sent to a member.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Flow {
    /// One append at a time, until the logs meet.
    Probe {
        /// Whether an append is unanswered.
        sent: bool,
    },
    /// Appends follow each other without waiting; this many with entries are unanswered.
    Stream(u32),
    /// A snapshot, chunk by chunk.
    Transfer {
        /// The snapshot; later ones do not replace it while it is sent.
        snapshot: Arc<Snapshot>,
        /// Bytes that the member has.
        offset: u64,
    },
}

impl Peer {
    /// A member whose log is unknown.
    pub fn new(next: Index) -> Self {
        Self {
            matched: Index::ZERO,
            next,
            flow: Flow::Probe { sent: false },
            round: 0,
            active: false,
            missed: 0,
        }
    }

    /// Whether an append with entries may be sent now.
    pub fn ready(&self) -> bool {
        match self.flow {
            Flow::Probe { sent } => !sent,
            Flow::Stream(flight) => flight < FLIGHT_APPENDS,
            Flow::Transfer { .. } => false,
        }
    }

    /// The member's log meets the leader's up to an index.
    pub fn matches(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &mut self.flow {
            Flow::Stream(_) if self.matched.next() == self.next => self.flow = Flow::Stream(0),
            Flow::Stream(flight) => *flight = flight.saturating_sub(1),
            Flow::Probe { .. } => {
                self.next = self.matched.next();
                self.flow = Flow::Stream(0);
            }
            Flow::Transfer { snapshot, .. } if self.matched >= snapshot.at.index => {
                self.next = self.matched.next();
                self.flow = Flow::Stream(0);
            }
            Flow::Transfer { .. } => {}
        }
    }

    /// The member lacks the entry before the next one; start again behind `shared`.
    pub fn conflicts(&mut self, shared: Index) {
        self.next = shared.max(self.matched).next();
        self.flow = Flow::Probe { sent: false };
    }
}
