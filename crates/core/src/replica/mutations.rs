//! Switches that break one rule of the protocol each, so that a check can be seen to fail.

/// Mutations of the protocol. The default is the correct protocol; only tests construct another.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Mutations {
    /// Votes go to candidates whose log is behind.
    pub stale_candidates: bool,
    /// A second vote in a term is allowed.
    pub double_votes: bool,
    /// Entries and votes are acknowledged before they are synced.
    pub unsynced_acks: bool,
    /// Entries of older terms are committed by counting copies.
    pub older_commits: bool,
    /// Reads are answered without asking a quorum.
    pub unconfirmed_reads: bool,
    /// Learners are promoted before they have caught up.
    pub lagging_promotions: bool,
    /// A membership change may start while another is uncommitted.
    pub overlapping_changes: bool,
    /// An append carries one entry. Breaks nothing, but lets a search interleave more.
    pub single_entry: bool,
    /// A membership change may start before an entry of the leader's own term is committed.
    pub premature_changes: bool,
}
