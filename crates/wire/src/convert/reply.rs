//! Conversions of replies and refusals.

use chestnutnotch_core::command;
use chestnutnotch_core::command::Billed;
use chestnutnotch_core::command::Refusal;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::unit::Fence;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;

use super::convert;
use super::id::required_router;
use super::try_convert;
use crate::WireError;
use crate::proto;
use crate::proto::claim_reply;
use crate::proto::refusal;
use crate::proto::reply::Kind;

impl From<Reply> for proto::Reply {
    fn from(from: Reply) -> Self {
        let kind = match from {
            Reply::Joined(incarnation) => Kind::Joined(incarnation.0),
            Reply::Grants(grants) => Kind::Grants(proto::Grants {
                grants: convert(grants),
            }),
            Reply::Done => Kind::Done(proto::Done {}),
            Reply::Billed(billed) => Kind::Billed(proto::BilledBatch {
                merged: billed.iter().map(|one| *one == Billed::Merged).collect(),
                closed: billed.iter().map(|one| *one == Billed::Closed).collect(),
            }),
            Reply::Claim(claim) => Kind::Claim(claim.into()),
            Reply::Concluded => Kind::Concluded(proto::Concluded {}),
            Reply::Accepted(revision) => Kind::Accepted(revision.0),
            Reply::ToppedUp(total) => Kind::ToppedUp(total.0),
            Reply::Retired(last) => Kind::Retired(proto::Retired {
                incarnation: last.map(|last| last.0),
            }),
            Reply::Leads(fence) => Kind::Leads(fence.0),
            Reply::Adopted(version) => Kind::Adopted(version),
            Reply::Refused(refusal) => Kind::Refused(refusal.into()),
            Reply::Evacuations(state) => Kind::Evacuations(state.into()),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<proto::Reply> for Reply {
    type Error = WireError;

    fn try_from(from: proto::Reply) -> Result<Self, WireError> {
        let kind = from.kind.ok_or(WireError::Missing {
            message: "Reply",
            field: "kind",
        })?;
        Ok(match kind {
            Kind::Joined(incarnation) => Self::Joined(Incarnation(incarnation)),
            Kind::Grants(grants) => Self::Grants(try_convert(grants.grants)?),
            Kind::Done(_) => Self::Done,
            Kind::Billed(batch) => Self::Billed(bill_outcomes(&batch)),
            Kind::Claim(claim) => Self::Claim(claim.try_into()?),
            Kind::Concluded(_) => Self::Concluded,
            Kind::Accepted(revision) => Self::Accepted(Revision(revision)),
            Kind::ToppedUp(total) => Self::ToppedUp(Tokens(total)),
            Kind::Retired(retired) => Self::Retired(retired.incarnation.map(Incarnation)),
            Kind::Leads(fence) => Self::Leads(Fence(fence)),
            Kind::Adopted(version) => Self::Adopted(version),
            Kind::Refused(refusal) => Self::Refused(refusal.try_into()?),
            Kind::Evacuations(state) => Self::Evacuations(state.into()),
        })
    }
}

/// Converts the outcomes of bills. A sender that knows no refusals leaves `closed` empty.
fn bill_outcomes(batch: &proto::BilledBatch) -> Vec<Billed> {
    let closed = batch.closed.iter().copied().chain(std::iter::repeat(false));
    let each = batch.merged.iter().zip(closed);
    each.map(|(merged, closed)| match (merged, closed) {
        (_, true) => Billed::Closed,
        (true, false) => Billed::Merged,
        (false, false) => Billed::Recorded,
    })
    .collect()
}

impl From<command::Grant> for proto::Grant {
    fn from(from: command::Grant) -> Self {
        Self {
            budget: from.budget.to_string(),
            granted: from.granted.0,
            exposure: from.exposure.0,
            recall: from.recall.0,
            unallotted: from.unallotted.0,
            spread: from.spread.0,
            pending: from.pending.0,
            seq: from.seq,
        }
    }
}

impl TryFrom<proto::Grant> for command::Grant {
    type Error = WireError;

    fn try_from(from: proto::Grant) -> Result<Self, WireError> {
        Ok(Self {
            budget: from.budget.into(),
            granted: Tokens(from.granted),
            exposure: Tokens(from.exposure),
            recall: Tokens(from.recall),
            unallotted: Tokens(from.unallotted),
            spread: Tokens(from.spread),
            pending: Tokens(from.pending),
            seq: from.seq,
        })
    }
}

impl From<command::ClaimReply> for proto::ClaimReply {
    fn from(from: command::ClaimReply) -> Self {
        let kind = match from {
            command::ClaimReply::Granted => claim_reply::Kind::Granted(proto::Done {}),
            command::ClaimReply::Running => claim_reply::Kind::Running(proto::Done {}),
            command::ClaimReply::Answered(answer) => claim_reply::Kind::Answered(answer.into()),
            command::ClaimReply::Unknown => claim_reply::Kind::Unknown(proto::Unknown {}),
            command::ClaimReply::Mismatch => claim_reply::Kind::Mismatch(proto::Done {}),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<proto::ClaimReply> for command::ClaimReply {
    type Error = WireError;

    fn try_from(from: proto::ClaimReply) -> Result<Self, WireError> {
        let kind = from.kind.ok_or(WireError::Missing {
            message: "ClaimReply",
            field: "kind",
        })?;
        Ok(match kind {
            claim_reply::Kind::Granted(_) => Self::Granted,
            claim_reply::Kind::Running(_) => Self::Running,
            claim_reply::Kind::Answered(answer) => Self::Answered(answer.try_into()?),
            claim_reply::Kind::Unknown(_) => Self::Unknown,
            claim_reply::Kind::Mismatch(_) => Self::Mismatch,
        })
    }
}

impl From<Refusal> for proto::Refusal {
    fn from(from: Refusal) -> Self {
        let kind = match from {
            Refusal::Conflict { current, operator } => refusal::Kind::Conflict(proto::Conflict {
                current: current.0,
                operator: operator.to_string(),
            }),
            Refusal::Reused(id) => refusal::Kind::Reused(id.to_string()),
            Refusal::NoBudget(budget) => refusal::Kind::NoBudget(budget.to_string()),
            Refusal::Invalid(error) => refusal::Kind::Invalid(error.into()),
            Refusal::Closed(holder) => refusal::Kind::Closed(holder.into()),
            Refusal::Open(holder) => refusal::Kind::Open(holder.into()),
            Refusal::NoClaim => refusal::Kind::NoClaim(proto::Done {}),
            Refusal::Led { router, until } => refusal::Kind::Led(proto::Led {
                router: Some(router.into()),
                until: until.0,
            }),
            Refusal::Range => refusal::Kind::Range(proto::Done {}),
            Refusal::Full => refusal::Kind::Full(proto::Done {}),
            Refusal::BadCentre => refusal::Kind::BadCentre(proto::Done {}),
            Refusal::NoCentre(centre) => refusal::Kind::NoCentre(centre.to_string()),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<proto::Refusal> for Refusal {
    type Error = WireError;

    fn try_from(from: proto::Refusal) -> Result<Self, WireError> {
        let kind = from.kind.ok_or(WireError::Missing {
            message: "Refusal",
            field: "kind",
        })?;
        Ok(match kind {
            refusal::Kind::Conflict(from) => Self::Conflict {
                current: Revision(from.current),
                operator: from.operator.into(),
            },
            refusal::Kind::Reused(id) => Self::Reused(id.into()),
            refusal::Kind::NoBudget(budget) => Self::NoBudget(budget.into()),
            refusal::Kind::Invalid(error) => Self::Invalid(error.try_into()?),
            refusal::Kind::Closed(holder) => Self::Closed(holder.try_into()?),
            refusal::Kind::Open(holder) => Self::Open(holder.try_into()?),
            refusal::Kind::NoClaim(_) => Self::NoClaim,
            refusal::Kind::Led(led) => Self::Led {
                router: required_router(led.router, "Led")?,
                until: Millis(led.until),
            },
            refusal::Kind::Range(_) => Self::Range,
            refusal::Kind::Full(_) => Self::Full,
            refusal::Kind::BadCentre(_) => Self::BadCentre,
            refusal::Kind::NoCentre(centre) => Self::NoCentre(centre.into()),
        })
    }
}
