//! Deliberate faults: each breaks one rule, so that a check can show that it would notice.

use serde::Deserialize;
use serde::Serialize;

/// A broken rule. No process ever sets one; only searches and tests do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fault {
    /// A resent top-up adds its amount again.
    TopUpTwice,
    /// A second bill of a request is charged as a first one.
    BillTwice,
    /// The tokens of a merged bill are not counted.
    MergeFree,
    /// A report that was overtaken by a later one is taken in as if it were new.
    OldReport,
    /// What a closed holder had left is free at once, before the replicas sealed.
    FreeUnsealed,
    /// A closed holder's exposure is free as soon as the replicas sealed.
    FreeExposure,
    /// Bills of a sealed holder are taken.
    BillSealed,
    /// A late standing raises the exposure that a holder obeys.
    LateExposure,
    /// A holder counts returned tokens as its own.
    KeepReturned,
    /// A claim is granted to another try while one runs.
    ClaimRunning,
    /// A resent claim is granted again after its try concluded.
    ClaimConcluded,
    /// A conclusion of an earlier try releases a later one.
    ConcludeAny,
    /// The claims of a closed holder are released.
    ReleaseClosed,
    /// A publish is accepted whatever its base.
    AnyBase,
    /// A resent publish or top-up is not recognised.
    ForgetSubmission,
    /// A follower takes an older configuration.
    OlderRevision,
    /// A follower takes its first configuration without a confirmation.
    UnconfirmedStart,
}
