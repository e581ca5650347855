//! What a leader knows of another member.

use std::sync::Arc;

use super::log::Snapshot;
use crate::unit::Index;

/// Appends with entries that may be unanswered at one time.
pub const MAX_INFLIGHT_APPENDS: u32 = 32;

/// What a leader knows of another member.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Highest entry known to be synced there.
    pub matched: Index,
    /// Next entry to send.
    pub next: Index,
    /// How entries are sent.
    pub mode: SendMode,
    /// Latest round that it answered.
    pub acked_round: u64,
    /// Whether it answered since the last check.
    pub active: bool,
    /// Checks in a row without an answer, up to the bound that matters.
    pub missed_checks: u32,
}

/// How entries are sent to a member.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum SendMode {
    /// One append at a time, until the logs meet.
    Probe {
        /// Whether an append is unanswered.
        unanswered: bool,
    },
    /// Appends follow each other without waiting; this many with entries are unanswered.
    Pipeline(u32),
    /// A snapshot, chunk by chunk.
    Snapshot {
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
            mode: SendMode::Probe { unanswered: false },
            acked_round: 0,
            active: false,
            missed_checks: 0,
        }
    }

    /// Whether an append with entries may be sent now.
    pub fn can_send(&self) -> bool {
        match self.mode {
            SendMode::Probe { unanswered } => !unanswered,
            SendMode::Pipeline(inflight) => inflight < MAX_INFLIGHT_APPENDS,
            SendMode::Snapshot { .. } => false,
        }
    }

    /// The member's log meets the leader's up to an index.
    pub fn record_match(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &mut self.mode {
            SendMode::Pipeline(_) if self.matched.next() == self.next => {
                self.mode = SendMode::Pipeline(0)
            }
            SendMode::Pipeline(inflight) => *inflight = inflight.saturating_sub(1),
            SendMode::Probe { .. } => {
                self.next = self.matched.next();
                self.mode = SendMode::Pipeline(0);
            }
            SendMode::Snapshot { snapshot, .. } if self.matched >= snapshot.at.index => {
                self.next = self.matched.next();
                self.mode = SendMode::Pipeline(0);
            }
            SendMode::Snapshot { .. } => {}
        }
    }

    /// The member lacks the entry before the next one; start again behind `shared`.
    pub fn record_conflict(&mut self, shared: Index) {
        self.next = shared.max(self.matched).next();
        self.mode = SendMode::Probe { unanswered: false };
    }
}
