//! Commands that the control replicas agree on, and the replies to them.
//!
//! Besides the state, the outcome of a command depends only on the command itself, so all replicas
//! that apply the same log reach the same state. Commands are idempotent: each carries an id or
//! cumulative counters, never a difference.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Document;
use crate::evacuation::Evacuate;
use crate::evacuation::Evacuations;
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

/// A command with the time and the operator that the leader added.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stamped {
    /// Unix time at the leader when it proposed the command.
    pub at: Millis,
    /// Name of the operator, or of the host, that submitted the command.
    pub operator: Operator,
    /// The command.
    pub command: Command,
}

/// A change to the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// A router process has started on a host and asks for an incarnation.
    Join(Join),
    /// A holder reports its counters, asks for tokens and returns tokens.
    Draw(Draw),
    /// A holder has stopped. These are its final counters; it spends nothing after them.
    Leave(Draw),
    /// Bills of finished requests.
    Bill(Vec<Bill>),
    /// A router asks for permission to send a non-idempotent call.
    Claim(Claim),
    /// A router reports how a claimed call ended.
    Conclude(Conclude),
    /// An operator publishes a new configuration.
    Publish(Publish),
    /// An operator adds tokens to a budget.
    TopUp(TopUp),
    /// An operator declares that a host is gone for good.
    Retire(Retire),
    /// A control replica has submitted all bills of a closed holder and accepts no more of them.
    Seal(Seal),
    /// An operator submits evidence of what a closed holder's unfinished attempts produced.
    Resolve(Resolve),
    /// A router asks for the lease to give orders in a data centre.
    Lead(Lead),
    /// A set of pass-through routes, which comes into force unless its version is not higher.
    Adopt(Adopt),
    /// An operator orders the evacuation of a data centre, or withdraws it.
    Evacuate(Evacuate),
}

/// Start of a router process; see [`Command::Join`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Join {
    /// Host that the router runs on.
    pub host: Host,
    /// Data centre of the host.
    pub centre: DataCentre,
    /// Random number of this process start. A resend carries the same one and gets the same
    /// incarnation.
    pub nonce: u64,
}

/// Report of a holder; see [`Command::Draw`]. Token counts are cumulative over the holder's life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Draw {
    /// Holder that reports.
    pub holder: Holder,
    /// Sequence number of the report. A report that arrives after a later one changes nothing.
    pub seq: u64,
    /// Counters by budget, for the budgets that need a report.
    pub rows: Vec<DrawRow>,
}

/// A holder's counters for one budget.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrawRow {
    /// The budget.
    pub budget: Budget,
    /// Cumulative grant that the holder would like to have.
    pub want: Tokens,
    /// Least cumulative grant that lets the largest waiting request run.
    pub need: Tokens,
    /// Tokens returned so far. The holder has stopped spending them before it reports them.
    pub returned: Tokens,
    /// Tokens produced without a bill so far.
    pub wasted: Tokens,
    /// Bound that the holder asks for on the tokens that unfinished requests reserve. The holder
    /// obeys the lower of this bound and the one granted last.
    pub exposure: Tokens,
    /// Rate of recent spending, in tokens per second.
    pub rate: Tokens,
}

/// Charge for one request; see [`Command::Bill`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bill {
    /// The request. Only its first bill counts as billed.
    pub id: RequestId,
    /// Fingerprint of the request's body.
    pub body: Fingerprint,
    /// Budget that is charged.
    pub budget: Budget,
    /// Holder whose allotment pays.
    pub holder: Holder,
    /// Number of the attempt at that holder. It tells a resent bill from that of a second run.
    pub attempt: u64,
    /// Prompt tokens of the answered attempt.
    pub prompt: Tokens,
    /// Generated tokens of the answered attempt.
    pub generated: Tokens,
}

/// Claim of a call; see [`Command::Claim`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The call.
    pub id: RequestId,
    /// Fingerprint of the call's method, path and body.
    pub body: Fingerprint,
    /// Plain service that the call goes to.
    pub service: Service,
    /// Router that would send the call.
    pub router: RouterId,
    /// Number of the attempt at that router. A resent claim carries the same one.
    pub nonce: u64,
}

/// End of an attempt at a claimed call; see [`Command::Conclude`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conclude {
    /// The call.
    pub id: RequestId,
    /// Router of the attempt.
    pub router: RouterId,
    /// Number of the attempt, as in the claim.
    pub nonce: u64,
    /// How the attempt ended.
    pub end: CallEnd,
}

/// How an attempt at a claimed call ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallEnd {
    /// The router sent no byte of the call, so the claim is released.
    NotRun,
    /// The service answered. Resends of the call get this answer.
    Answered(Recorded),
    /// The call was sent and no usable answer arrived, so it may have run.
    Unknown,
}

/// A recorded answer of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content-Type header, empty if none.
    pub kind: Arc<str>,
    /// Body. The router bounds its size.
    pub body: Arc<[u8]>,
}

/// New configuration; see [`Command::Publish`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Publish {
    /// Id of the submission. A resend carries the same id and gets the first reply.
    pub id: SubmissionId,
    /// Revision that the operator edited. The command is refused if another one is in force.
    pub base: Revision,
    /// The complete new configuration.
    pub document: Arc<Document>,
}

/// Deposit to a budget; see [`Command::TopUp`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopUp {
    /// Id of the submission. A resend carries the same id and adds nothing.
    pub id: SubmissionId,
    /// The budget.
    pub budget: Budget,
    /// Tokens to add.
    pub amount: Tokens,
}

/// Retirement of a host; see [`Command::Retire`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Retire {
    /// The host that is gone.
    pub host: Host,
    /// Latest incarnation to retire; a later one stays open. Any if none.
    pub last: Option<Incarnation>,
}

/// Seal of a closed holder; see [`Command::Seal`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seal {
    /// Control replica that seals the holder.
    pub replica: crate::id::ReplicaId,
    /// The closed holder.
    pub holder: Holder,
    /// Replicas that vote now. Sealing is complete once all of them have sealed.
    pub voters: Vec<crate::id::ReplicaId>,
}

/// Evidence on a closed holder; see [`Command::Resolve`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resolve {
    /// Id of the submission. A resend carries the same id and changes nothing.
    pub id: SubmissionId,
    /// The closed holder.
    pub holder: Holder,
    /// The budget.
    pub budget: Budget,
    /// Tokens that unfinished attempts produced. The rest of the frozen exposure is freed.
    pub produced: Tokens,
}

/// Request for a lease; see [`Command::Lead`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lead {
    /// The data centre.
    pub centre: DataCentre,
    /// Router that asks.
    pub router: RouterId,
    /// Duration of the lease.
    pub span: Millis,
}

/// Reply to a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// Reply to [`Command::Join`]: the incarnation of the process.
    Joined(Incarnation),
    /// Reply to [`Command::Draw`], one grant for each budget that exists.
    Grants(Vec<Grant>),
    /// Reply to [`Command::Leave`], [`Command::Seal`] and [`Command::Resolve`].
    Done,
    /// Reply to [`Command::Bill`], one outcome for each bill in order.
    Billed(Vec<Billed>),
    /// Reply to [`Command::Claim`].
    Claim(ClaimReply),
    /// Reply to [`Command::Conclude`].
    Concluded,
    /// Reply to [`Command::Publish`]: the new revision.
    Accepted(Revision),
    /// Reply to [`Command::TopUp`]: the prepaid total after it.
    ToppedUp(Tokens),
    /// Reply to [`Command::Retire`]: the incarnation that was closed, if one was open.
    Retired(Option<Incarnation>),
    /// Reply to [`Command::Lead`]: the fencing number of the lease.
    Leads(Fence),
    /// Reply to [`Command::Adopt`]: the version in force after it.
    Adopted(u64),
    /// The command was refused and changed nothing.
    Refused(Refusal),
    /// Reply to [`Command::Evacuate`]: the evacuations in force after it.
    Evacuations(Evacuations),
}

/// The ledger's answer to a holder's report on one budget.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The budget.
    pub budget: Budget,
    /// Sequence number of the latest report that this answer takes into account.
    pub seq: u64,
    /// Tokens granted so far, over the holder's life.
    pub granted: Tokens,
    /// Bound on the tokens that unfinished requests may reserve.
    pub exposure: Tokens,
    /// Unspent tokens that the holder should return, as other holders lack them.
    pub recall: Tokens,
    /// Tokens of the budget that no holder has, after this grant.
    pub unallotted: Tokens,
    /// Unspent tokens of all open holders together, this one included.
    pub spread: Tokens,
    /// Unspent tokens of lost holders that are free once these are sealed.
    pub pending: Tokens,
}

/// Outcome of one bill.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Billed {
    /// The request's first bill.
    Recorded,
    /// The request had a bill already. The tokens of another attempt count as wasted. The holder
    /// settles its reservation as billed all the same, as the ledger has counted these tokens.
    Merged,
    /// The holder is closed and sealed. The bill was not recorded and is not safe, so the holder
    /// keeps its reservation.
    Closed,
}

/// Outcome of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The router may send the call, once.
    Granted,
    /// Another router or attempt holds the claim and has not reported how it ended.
    Running,
    /// The call ran, with this answer.
    Answered(Recorded),
    /// The call may have been sent, and whether it ran is not known.
    Unknown,
    /// The idempotency key was used with another method, path or body.
    Mismatch,
}

/// Why a command was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum Refusal {
    /// The configuration was based on a revision that is not in force.
    #[error("revision {current} by {operator} is in force; the base was another")]
    Conflict {
        /// Revision in force.
        current: Revision,
        /// Operator that published it.
        operator: Operator,
    },
    /// The submission id was used for another change.
    #[error("submission id {0} was used for another change")]
    Reused(SubmissionId),
    /// The budget is not configured.
    #[error("no budget named {0}")]
    NoBudget(Budget),
    /// The configuration is not valid.
    #[error("configuration refused: {0}")]
    Invalid(crate::config::ConfigError),
    /// The holder has left, was retired or was replaced.
    #[error("{0} is closed")]
    Closed(Holder),
    /// The holder is still open, so it can't be sealed and evidence on it isn't accepted.
    #[error("{0} is still open")]
    Open(Holder),
    /// The attempt holds no claim of the call.
    #[error("no claim held for this call")]
    NoClaim,
    /// Another router holds the lease to give orders.
    #[error("{router} gives the orders here until its lease ends")]
    Led {
        /// Router that holds the lease.
        router: RouterId,
        /// Unix time at which the lease ends.
        until: Millis,
    },
    /// The amount would overflow.
    #[error("the amount is out of range")]
    Range,
    /// The register of hosts, calls or leases is at its bound.
    #[error("no room for more entries")]
    Full,
    /// The name can't be that of a data centre.
    #[error("the name of a data centre has 1 to 128 bytes, without spaces")]
    BadCentre,
    /// No host, upstream or setting names the data centre.
    #[error("no data centre named {0}")]
    NoCentre(DataCentre),
}
