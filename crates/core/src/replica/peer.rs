//! Replication progress of one member, as tracked by the leader.

use std::sync::Arc;

use super::log::Log;
use super::log::Snapshot;
use super::succession::MAX_LEARNER_MISSED_CHECKS;
use super::succession::MIN_ANSWERED_CHECKS;
use crate::unit::Index;

/// Maximum number of unacknowledged appends with entries to one member.
pub const MAX_INFLIGHT_APPENDS: u32 = 32;

/// Total size of unacknowledged entries to one member from which on no more are sent. Heartbeats wait
/// behind entries, so on a slow link this bounds their delay.
pub const MAX_INFLIGHT_BYTES: usize = 512 << 10;

/// Replication progress of one member, as tracked by the leader.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Highest index known to be durable on the member and equal to the leader's log.
    pub matched: Index,
    /// Index of the next entry to send.
    pub next: Index,
    /// How entries are sent at present.
    pub mode: SendMode,
    /// Latest heartbeat round to which the member responded.
    pub acked_round: u64,
    /// Whether the member responded since the last quorum check.
    pub active: bool,
    /// Whether the member responded since the last quorum check with what is durable on it. One whose
    /// disk hangs responds to heartbeats alone.
    pub durable: bool,
    /// Consecutive quorum checks without a durable response, counted up to the limit at which a
    /// learner is removed.
    pub missed_checks: u32,
    /// Consecutive quorum checks with a durable response, counted up to the number after which a
    /// successor becomes a voter.
    pub answered_checks: u32,
}

/// How entries are sent to a member.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum SendMode {
    /// One append at a time, until the last entry that both logs contain is known.
    Probe {
        /// Whether an append awaits its response.
        unanswered: bool,
    },
    /// Appends are sent without waiting for responses. Holds the number of appends with entries
    /// that await theirs.
    Pipeline(u32),
    /// A snapshot is sent in chunks, one at a time.
    Snapshot {
        /// Snapshot being sent. It is not replaced when the leader takes a later one.
        snapshot: Arc<Snapshot>,
        /// Number of bytes that the member has received.
        offset: u64,
        /// Heartbeat round in which the chunk at this offset was last sent.
        sent_round: u64,
    },
}

impl Peer {
    /// Returns the progress of a member whose log is unknown.
    pub fn new(next: Index) -> Self {
        Self {
            matched: Index::ZERO,
            next,
            mode: SendMode::Probe { unanswered: false },
            acked_round: 0,
            active: false,
            durable: false,
            missed_checks: 0,
            answered_checks: 0,
        }
    }

    /// Ends the time of one quorum check. If `counts` is set, records whether the member answered it.
    pub fn finish_check(&mut self, counts: bool) {
        if counts && self.durable {
            self.answered_checks = (self.answered_checks + 1).min(MIN_ANSWERED_CHECKS);
            self.missed_checks = 0;
        } else if counts {
            self.answered_checks = 0;
            self.missed_checks = (self.missed_checks + 1).min(MAX_LEARNER_MISSED_CHECKS);
        }
        self.active = false;
        self.durable = false;
    }

    /// Whether an append with entries may be sent now.
    pub fn can_send(&self, log: &Log) -> bool {
        match self.mode {
            SendMode::Probe { unanswered } => !unanswered,
            SendMode::Pipeline(inflight) => {
                inflight < MAX_INFLIGHT_APPENDS
                    && log.size_between(self.matched.next(), self.next) < MAX_INFLIGHT_BYTES
            }
            SendMode::Snapshot { .. } => false,
        }
    }

    /// Whether something is on its way to the member whose size may delay what is sent after it.
    pub fn awaits_response(&self) -> bool {
        match self.mode {
            SendMode::Probe { unanswered } => unanswered,
            SendMode::Pipeline(_) => self.matched.next() < self.next,
            SendMode::Snapshot { .. } => true,
        }
    }

    /// Records that the member's log is durable and equal to the leader's up to an index.
    pub fn record_match(&mut self, index: Index) {
        let is_higher = index > self.matched;
        // A probe is answered with at least the entry before it.
        let answers_probe = index.next() >= self.next;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &mut self.mode {
            SendMode::Pipeline(_) if self.matched.next() == self.next => {
                self.mode = SendMode::Pipeline(0)
            }
            SendMode::Pipeline(inflight) if is_higher => *inflight = inflight.saturating_sub(1),
            SendMode::Pipeline(_) => {}
            SendMode::Probe { .. } if !answers_probe => {}
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

    /// Records that the member's log does not contain the entry before the one sent; probing
    /// continues after `shared`, the last entry that both logs may contain.
    pub fn record_conflict(&mut self, shared: Index) {
        self.next = shared.max(self.matched).next();
        self.mode = SendMode::Probe { unanswered: false };
    }
}
