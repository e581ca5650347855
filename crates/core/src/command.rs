//! Commands that the control replicas agree on, and the replies to them.
//!
//! A command carries all that its outcome depends on besides the state, so every replica that
//! applies the same log reaches the same state. Resends are safe: each command names what it is
//! about by an id or by cumulative counters, never by a difference.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Document;
use crate::id::Budget;
use crate::id::DataCentre;
use crate::id::Fingerprint;
use crate::id::Holder;
use crate::id::Host;
use crate::id::Operator;
use crate::id::RequestId;
use crate::id::RouterId;
use crate::id::Service;
use crate::id::SubmissionId;
use crate::route::Adopt;
use crate::unit::Fence;
use crate::unit::Incarnation;
use crate::unit::Millis;
use crate::unit::Revision;
use crate::unit::Tokens;

/// A command with what the leader stamped on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stamped {
    /// Unix time at the leader when it proposed the command.
    pub at: Millis,
    /// Who asked for it: an operator's name, or the name of the host.
    pub operator: Operator,
    /// What is asked for.
    pub command: Command,
}

/// A change to the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// A router process starts on a host and asks for an incarnation.
    Join(Join),
    /// A holder reports its counters and asks for or returns allotments.
    Draw(Draw),
    /// A holder has stopped: its last counters, after which it spends nothing.
    Leave(Draw),
    /// Bills of finished requests.
    Bill(Vec<Bill>),
    /// A non-idempotent call asks for leave to be sent once.
    Claim(Claim),
    /// The end of a claimed call.
    Conclude(Conclude),
    /// A new configuration.
    Publish(Publish),
    /// Tokens added to a budget.
    TopUp(TopUp),
    /// An operator says that a host is gone for good.
    Retire(Retire),
    /// A control replica holds no unsubmitted bill of a closed holder, and accepts none any more.
    Seal(Seal),
    /// Evidence of what a closed holder's unfinished attempts produced.
    Resolve(Resolve),
    /// A process asks to give the orders in a data centre.
    Lead(Lead),
    /// A set of pass-through routes, in force unless a higher version is.
    Adopt(Adopt),
}

/// See [`Command::Join`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Join {
    /// The host slot.
    pub host: Host,
    /// Where the host stands.
    pub centre: DataCentre,
    /// Random number of this process start: a resend gets the same incarnation.
    pub nonce: u64,
}

/// See [`Command::Draw`]. All token counts are cumulative over the holder's life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// Who reports.
    pub holder: Holder,
    /// Rises with each report; an older report changes nothing.
    pub seq: u64,
    /// One row for each budget concerned.
    pub rows: Vec<DrawRow>,
}

/// A holder's counters for one budget.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrawRow {
    /// Which budget.
    pub budget: Budget,
    /// Cumulative grant the holder wishes to have reached.
    pub want: Tokens,
    /// Least cumulative grant that lets the waiting requests run.
    pub need: Tokens,
    /// Tokens handed back so far; the holder has already stopped counting on them.
    pub returned: Tokens,
    /// Tokens produced by attempts that end without a bill, so far.
    pub wasted: Tokens,
    /// Bound on what unfinished requests reserve; the holder keeps the lower of the bound it asks
    /// for and the one granted last.
    pub exposure: Tokens,
    /// Recent spending, in tokens per second.
    pub rate: Tokens,
}

/// Bill of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// The request: one bill for each.
    pub id: RequestId,
    /// Body of the request.
    pub body: Fingerprint,
    /// Charged budget.
    pub budget: Budget,
    /// Whose allotment paid.
    pub holder: Holder,
    /// Number of the attempt at that holder: tells a resent bill from a second run.
    pub attempt: u64,
    /// Prompt tokens of the answered attempt.
    pub prompt: Tokens,
    /// Generated tokens of the answered attempt.
    pub generated: Tokens,
}

/// See [`Command::Claim`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The call.
    pub id: RequestId,
    /// Method, path and body of the call.
    pub body: Fingerprint,
    /// Which plain service.
    pub service: Service,
    /// Who would send it.
    pub router: RouterId,
    /// Number of the try at that router: a resent claim is the same one.
    pub nonce: u64,
}

/// See [`Command::Conclude`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conclude {
    /// The call.
    pub id: RequestId,
    /// Who holds the claim.
    pub router: RouterId,
    /// Number of the try, as in the claim.
    pub nonce: u64,
    /// How it ended.
    pub end: CallEnd,
}

/// End of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallEnd {
    /// No byte left the router: the claim is released.
    NotRun,
    /// The service answered.
    Answered(Recorded),
    /// Sent, and no clear answer.
    Unknown,
}

/// A recorded answer of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type header, empty if none.
    pub kind: Arc<str>,
    /// Body, bounded by the router.
    pub body: Arc<[u8]>,
}

/// See [`Command::Publish`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Publish {
    /// A resend carries the same id and gets the first answer.
    pub id: SubmissionId,
    /// Revision that the operator started from.
    pub base: Revision,
    /// The whole configuration.
    pub document: Arc<Document>,
}

/// See [`Command::TopUp`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopUp {
    /// A resend carries the same id and adds nothing.
    pub id: SubmissionId,
    /// Which budget.
    pub budget: Budget,
    /// How much is added.
    pub amount: Tokens,
}

/// See [`Command::Retire`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Retire {
    /// The host that is gone.
    pub host: Host,
    /// A later incarnation than this is not retired.
    pub last: Option<Incarnation>,
}

/// See [`Command::Seal`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seal {
    /// The sealing replica.
    pub replica: crate::id::ReplicaId,
    /// The closed holder.
    pub holder: Holder,
    /// The voting replicas, all of which have to seal.
    pub voters: Vec<crate::id::ReplicaId>,
}

/// See [`Command::Resolve`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resolve {
    /// A resend carries the same id.
    pub id: SubmissionId,
    /// The closed holder.
    pub holder: Holder,
    /// Which budget.
    pub budget: Budget,
    /// Tokens that unfinished attempts produced; all else that was frozen is free.
    pub produced: Tokens,
}

/// See [`Command::Lead`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lead {
    /// The data centre.
    pub centre: DataCentre,
    /// Who asks.
    pub router: RouterId,
    /// How long the lease runs.
    pub span: Millis,
}

/// Outcome of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// To [`Command::Join`].
    Joined(Incarnation),
    /// To [`Command::Draw`].
    Grants(Vec<Grant>),
    /// To [`Command::Leave`], [`Command::Seal`] and [`Command::Resolve`].
    Done,
    /// To [`Command::Bill`], one for each bill.
    Billed(Vec<Billed>),
    /// To [`Command::Claim`].
    Claim(ClaimReply),
    /// To [`Command::Conclude`].
    Concluded,
    /// To [`Command::Publish`].
    Accepted(Revision),
    /// To [`Command::TopUp`]: prepaid total after it.
    ToppedUp(Tokens),
    /// To [`Command::Retire`]: the incarnation closed, if one was open.
    Retired(Option<Incarnation>),
    /// To [`Command::Lead`].
    Leads(Fence),
    /// To [`Command::Adopt`]: the version in force after it.
    Adopted(u64),
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

/// A holder's standing for one budget. Token counts are cumulative.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Which budget.
    pub budget: Budget,
    /// Latest report of the holder that this standing takes into account.
    pub seq: u64,
    /// Granted so far.
    pub granted: Tokens,
    /// Bound on what unfinished requests may reserve.
    pub exposure: Tokens,
    /// Unspent tokens asked back, for others run short.
    pub recall: Tokens,
    /// Tokens that no holder has, after this grant.
    pub unallotted: Tokens,
    /// Unspent tokens of all holders together, this one included.
    pub spread: Tokens,
}

/// Outcome of one bill.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Billed {
    /// The request's first bill.
    Recorded,
    /// The request had a bill already. Tokens of another attempt count as wasted; the holder settles
    /// its reservation as billed all the same, for the ledger has counted them.
    Merged,
    /// The holder is closed and sealed: nothing was recorded, the bill is not safe, and its
    /// reservation stays.
    Closed,
}

/// Outcome of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// Send it, once.
    Granted,
    /// Another router or try holds the claim and has not said how it ended.
    Running,
    /// It ran; this was the answer.
    Answered(Recorded),
    /// It was sent, and whether it ran is not known.
    Unknown,
    /// The key was used with another body.
    Mismatch,
}

/// Why a command was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum Refusal {
    /// The base is not the revision in force.
    #[error("revision {current} by {operator} is in force; the base was another")]
    Conflict {
        /// Revision in force.
        current: Revision,
        /// Who published it.
        operator: Operator,
    },
    /// The submission id was used for something else.
    #[error("submission id {0} was used for another change")]
    Reused(SubmissionId),
    /// The budget is not configured.
    #[error("no budget named {0}")]
    NoBudget(Budget),
    /// The configuration contradicts itself.
    #[error("configuration refused: {0}")]
    Invalid(crate::config::ConfigError),
    /// The holder has left, was retired or was replaced.
    #[error("{0} is closed")]
    Closed(Holder),
    /// The holder is still open: nothing of it can be resolved.
    #[error("{0} is still open")]
    Open(Holder),
    /// The router holds no such claim.
    #[error("no claim held for this call")]
    NoClaim,
    /// Another process gives the orders.
    #[error("{router} gives the orders here until its lease ends")]
    Led {
        /// Who does.
        router: RouterId,
        /// Unix time at which the lease ends.
        until: Millis,
    },
    /// The amount would overflow.
    #[error("the amount is out of range")]
    Range,
    /// A bounded register has no room left.
    #[error("no room for more entries")]
    Full,
}
