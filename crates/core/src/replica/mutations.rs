//! Deliberate protocol violations, used to test that the model checks detect them.

/// Switches that each make a node violate one rule of the protocol. All are off by default, which
/// is the correct protocol; only tests turn one on.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Mutations {
    /// A vote is granted to a candidate whose log is not up to date.
    pub stale_candidates: bool,
    /// A node may vote for several candidates in one term.
    pub double_votes: bool,
    /// Entries and votes are acknowledged before they are durable.
    pub unsynced_acks: bool,
    /// Entries of older terms are committed by counting replicas.
    pub older_commits: bool,
    /// A leader answers reads without confirming its leadership with a quorum.
    pub unconfirmed_reads: bool,
    /// Learners are promoted before they have caught up with the log.
    pub lagging_promotions: bool,
    /// A membership change may start while another is uncommitted.
    pub overlapping_changes: bool,
    /// An append carries at most one entry. This violates no rule; it lets an exhaustive search
    /// interleave more messages.
    pub single_entry: bool,
    /// A membership change may start before an entry of the leader's own term is committed.
    pub premature_changes: bool,
    /// A successor becomes a voter and its predecessor a learner in one membership change.
    pub direct_swaps: bool,
    /// A predecessor becomes a learner before its successor votes.
    pub early_retirements: bool,
}
