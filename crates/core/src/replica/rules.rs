//! Switches that break one rule of the protocol each, so that a check can be seen to fail.

/// Rules of the protocol. The default is the correct protocol; only tests construct another.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Rules {
    /// Votes go to candidates whose log is behind.
    pub blind: bool,
    /// A second vote in a term is allowed.
    pub twice: bool,
    /// Entries and votes are acknowledged before they are synced.
    pub hasty: bool,
    /// Entries of older terms are committed by counting copies.
    pub counting: bool,
    /// Reads are answered without asking a quorum.
    pub unconfirmed: bool,
    /// Learners are promoted before they have caught up.
    pub early: bool,
    /// A membership change may start while another is uncommitted.
    pub overlapping: bool,
    /// An append carries one entry. Breaks nothing, but lets a search interleave more.
    pub single: bool,
    /// A membership change may start before an entry of the leader's own term is committed.
    pub premature: bool,
}
