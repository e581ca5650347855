//! Fault injection: each fault breaks one rule, so that a test can show that it detects the breach.

use serde::Deserialize;
use serde::Serialize;

/// An injected fault. Only tests and model checks set one, never a running process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fault {
    /// A resent top-up adds its amount again.
    TopUpTwice,
    /// A second bill of a request is charged as a first one.
    BillTwice,
    /// The tokens of a merged bill are not counted.
    MergeFree,
    /// A report that arrives after a later one is applied as if it were new.
    OldReport,
    /// The unspent tokens of a closed holder are freed at once, before the replicas seal it.
    FreeUnsealed,
    /// The exposure of a closed holder is freed as soon as the replicas have sealed it.
    FreeExposure,
    /// Bills of a sealed holder are accepted.
    BillSealed,
    /// A late answer of the ledger raises the exposure limit of a holder.
    LateExposure,
    /// A holder still spends tokens that it has returned.
    KeepReturned,
    /// A claim is granted to another attempt while one is running.
    ClaimRunning,
    /// A resent claim is granted again after its attempt was concluded.
    ClaimConcluded,
    /// The conclusion of an earlier attempt releases the claim of a later one.
    ConcludeAny,
    /// The claims of a closed holder are released.
    ReleaseClosed,
    /// A configuration is accepted whatever revision it is based on.
    AnyBase,
    /// A resent submission is not recognised and is applied again.
    ForgetSubmission,
    /// A follower of the configuration replaces it by an older revision.
    OlderRevision,
    /// A follower of the configuration uses its first revision without a confirmation.
    UnconfirmedStart,
}
