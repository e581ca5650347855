//! Conversions of commands to the replicated log.

use std::sync::Arc;

use chestnutnotch_core::command;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::evacuation::Evacuate;
use chestnutnotch_core::evacuation::Evacuations;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::route;
use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_core::unit::Tokens;

use super::convert;
use super::id::fingerprint;
use super::id::required_holder;
use super::id::required_request_id;
use super::id::required_router;
use super::narrow;
use super::required;
use super::try_convert;
use crate::WireError;
use crate::proto;
use crate::proto::command::Kind;

impl From<Command> for proto::Command {
    fn from(from: Command) -> Self {
        let kind = match from {
            Command::Join(join) => Kind::Join(join.into()),
            Command::Draw(draw) => Kind::Draw(draw.into()),
            Command::Leave(draw) => Kind::Leave(draw.into()),
            Command::Bill(bills) => Kind::Bill(proto::BillBatch {
                bills: convert(bills),
            }),
            Command::Claim(claim) => Kind::Claim(claim.into()),
            Command::Conclude(conclude) => Kind::Conclude(conclude.into()),
            Command::Publish(publish) => Kind::Publish(publish.into()),
            Command::TopUp(top_up) => Kind::TopUp(top_up.into()),
            Command::Retire(retire) => Kind::Retire(retire.into()),
            Command::Seal(seal) => Kind::Seal(seal.into()),
            Command::Resolve(resolve) => Kind::Resolve(resolve.into()),
            Command::Lead(lead) => Kind::Lead(lead.into()),
            Command::Adopt(adopt) => Kind::Adopt(adopt.into()),
            Command::Evacuate(order) => Kind::Evacuate(order.into()),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<proto::Command> for Command {
    type Error = WireError;

    fn try_from(from: proto::Command) -> Result<Self, WireError> {
        let kind = from.kind.ok_or(WireError::Missing {
            message: "Command",
            field: "kind",
        })?;
        Ok(match kind {
            Kind::Join(join) => Self::Join(join.try_into()?),
            Kind::Draw(draw) => Self::Draw(draw.try_into()?),
            Kind::Leave(draw) => Self::Leave(draw.try_into()?),
            Kind::Bill(batch) => Self::Bill(try_convert(batch.bills)?),
            Kind::Claim(claim) => Self::Claim(claim.try_into()?),
            Kind::Conclude(conclude) => Self::Conclude(conclude.try_into()?),
            Kind::Publish(publish) => Self::Publish(publish.try_into()?),
            Kind::TopUp(top_up) => Self::TopUp(top_up.try_into()?),
            Kind::Retire(retire) => Self::Retire(retire.try_into()?),
            Kind::Seal(seal) => Self::Seal(seal.try_into()?),
            Kind::Resolve(resolve) => Self::Resolve(resolve.try_into()?),
            Kind::Lead(lead) => Self::Lead(lead.try_into()?),
            Kind::Adopt(adopt) => Self::Adopt(adopt.into()),
            Kind::Evacuate(order) => Self::Evacuate(order.into()),
        })
    }
}

impl From<command::Join> for proto::Join {
    fn from(from: command::Join) -> Self {
        Self {
            host: from.host.to_string(),
            centre: from.centre.to_string(),
            nonce: from.nonce,
        }
    }
}

impl TryFrom<proto::Join> for command::Join {
    type Error = WireError;

    fn try_from(from: proto::Join) -> Result<Self, WireError> {
        Ok(Self {
            host: from.host.into(),
            centre: from.centre.into(),
            nonce: from.nonce,
        })
    }
}

impl From<command::Draw> for proto::Draw {
    fn from(from: command::Draw) -> Self {
        Self {
            holder: Some(from.holder.into()),
            seq: from.seq,
            rows: convert(from.rows),
        }
    }
}

impl TryFrom<proto::Draw> for command::Draw {
    type Error = WireError;

    fn try_from(from: proto::Draw) -> Result<Self, WireError> {
        Ok(Self {
            holder: required_holder(from.holder, "Draw")?,
            seq: from.seq,
            rows: try_convert(from.rows)?,
        })
    }
}

impl From<command::DrawRow> for proto::DrawRow {
    fn from(from: command::DrawRow) -> Self {
        Self {
            budget: from.budget.to_string(),
            want: from.want.0,
            need: from.need.0,
            returned: from.returned.0,
            wasted: from.wasted.0,
            exposure: from.exposure.0,
            rate: from.rate.0,
        }
    }
}

impl TryFrom<proto::DrawRow> for command::DrawRow {
    type Error = WireError;

    fn try_from(from: proto::DrawRow) -> Result<Self, WireError> {
        Ok(Self {
            budget: from.budget.into(),
            want: Tokens(from.want),
            need: Tokens(from.need),
            returned: Tokens(from.returned),
            wasted: Tokens(from.wasted),
            exposure: Tokens(from.exposure),
            rate: Tokens(from.rate),
        })
    }
}

impl From<command::Bill> for proto::Bill {
    fn from(from: command::Bill) -> Self {
        Self {
            id: Some(from.id.into()),
            body: from.body.0.to_vec(),
            budget: from.budget.to_string(),
            holder: Some(from.holder.into()),
            prompt: from.prompt.0,
            generated: from.generated.0,
            attempt: from.attempt,
        }
    }
}

impl TryFrom<proto::Bill> for command::Bill {
    type Error = WireError;

    fn try_from(from: proto::Bill) -> Result<Self, WireError> {
        Ok(Self {
            id: required_request_id(from.id, "Bill")?,
            body: fingerprint(&from.body, "Bill")?,
            budget: from.budget.into(),
            holder: required_holder(from.holder, "Bill")?,
            prompt: Tokens(from.prompt),
            generated: Tokens(from.generated),
            attempt: from.attempt,
        })
    }
}

impl From<command::Claim> for proto::Claim {
    fn from(from: command::Claim) -> Self {
        Self {
            id: Some(from.id.into()),
            body: from.body.0.to_vec(),
            service: from.service.to_string(),
            router: Some(from.router.into()),
            nonce: from.nonce,
        }
    }
}

impl TryFrom<proto::Claim> for command::Claim {
    type Error = WireError;

    fn try_from(from: proto::Claim) -> Result<Self, WireError> {
        Ok(Self {
            id: required_request_id(from.id, "Claim")?,
            body: fingerprint(&from.body, "Claim")?,
            service: from.service.into(),
            router: required_router(from.router, "Claim")?,
            nonce: from.nonce,
        })
    }
}

impl From<command::Conclude> for proto::Conclude {
    fn from(from: command::Conclude) -> Self {
        let end = match from.end {
            command::CallEnd::NotRun => proto::conclude::End::NotRun(proto::NotRun {}),
            command::CallEnd::Answered(answer) => proto::conclude::End::Answered(answer.into()),
            command::CallEnd::Unknown => proto::conclude::End::Unknown(proto::Unknown {}),
        };
        Self {
            id: Some(from.id.into()),
            router: Some(from.router.into()),
            end: Some(end),
            nonce: from.nonce,
        }
    }
}

impl TryFrom<proto::Conclude> for command::Conclude {
    type Error = WireError;

    fn try_from(from: proto::Conclude) -> Result<Self, WireError> {
        let end = match from.end {
            Some(proto::conclude::End::NotRun(_)) => command::CallEnd::NotRun,
            Some(proto::conclude::End::Answered(answer)) => {
                command::CallEnd::Answered(answer.try_into()?)
            }
            Some(proto::conclude::End::Unknown(_)) => command::CallEnd::Unknown,
            None => {
                return Err(WireError::Missing {
                    message: "Conclude",
                    field: "end",
                });
            }
        };
        Ok(Self {
            id: required_request_id(from.id, "Conclude")?,
            router: required_router(from.router, "Conclude")?,
            nonce: from.nonce,
            end,
        })
    }
}

impl From<command::Recorded> for proto::Recorded {
    fn from(from: command::Recorded) -> Self {
        Self {
            status: from.status.into(),
            kind: from.kind.to_string(),
            body: from.body.to_vec(),
        }
    }
}

impl TryFrom<proto::Recorded> for command::Recorded {
    type Error = WireError;

    fn try_from(from: proto::Recorded) -> Result<Self, WireError> {
        Ok(Self {
            status: narrow(from.status, "Recorded", "status")?,
            kind: from.kind.into(),
            body: from.body.into(),
        })
    }
}

impl From<command::Publish> for proto::Publish {
    fn from(from: command::Publish) -> Self {
        Self {
            id: from.id.to_string(),
            base: from.base.0,
            document: Some((*from.document).clone().into()),
        }
    }
}

impl TryFrom<proto::Publish> for command::Publish {
    type Error = WireError;

    fn try_from(from: proto::Publish) -> Result<Self, WireError> {
        Ok(Self {
            id: from.id.into(),
            base: Revision(from.base),
            document: Arc::new(required(from.document, "Publish", "document")?),
        })
    }
}

impl From<command::TopUp> for proto::TopUp {
    fn from(from: command::TopUp) -> Self {
        Self {
            id: from.id.to_string(),
            budget: from.budget.to_string(),
            amount: from.amount.0,
        }
    }
}

impl TryFrom<proto::TopUp> for command::TopUp {
    type Error = WireError;

    fn try_from(from: proto::TopUp) -> Result<Self, WireError> {
        Ok(Self {
            id: from.id.into(),
            budget: from.budget.into(),
            amount: Tokens(from.amount),
        })
    }
}

impl From<command::Retire> for proto::Retire {
    fn from(from: command::Retire) -> Self {
        Self {
            host: from.host.to_string(),
            last: from.last.map(|last| last.0),
        }
    }
}

impl TryFrom<proto::Retire> for command::Retire {
    type Error = WireError;

    fn try_from(from: proto::Retire) -> Result<Self, WireError> {
        Ok(Self {
            host: from.host.into(),
            last: from.last.map(Incarnation),
        })
    }
}

impl From<command::Seal> for proto::Seal {
    fn from(from: command::Seal) -> Self {
        Self {
            replica: from.replica.0,
            holder: Some(from.holder.into()),
            voters: from.voters.into_iter().map(|voter| voter.0).collect(),
        }
    }
}

impl TryFrom<proto::Seal> for command::Seal {
    type Error = WireError;

    fn try_from(from: proto::Seal) -> Result<Self, WireError> {
        Ok(Self {
            replica: ReplicaId(from.replica),
            holder: required_holder(from.holder, "Seal")?,
            voters: from.voters.into_iter().map(ReplicaId).collect(),
        })
    }
}

impl From<command::Resolve> for proto::Resolve {
    fn from(from: command::Resolve) -> Self {
        Self {
            id: from.id.to_string(),
            holder: Some(from.holder.into()),
            budget: from.budget.to_string(),
            produced: from.produced.0,
        }
    }
}

impl TryFrom<proto::Resolve> for command::Resolve {
    type Error = WireError;

    fn try_from(from: proto::Resolve) -> Result<Self, WireError> {
        Ok(Self {
            id: from.id.into(),
            holder: required_holder(from.holder, "Resolve")?,
            budget: from.budget.into(),
            produced: Tokens(from.produced),
        })
    }
}

impl From<command::Lead> for proto::Lead {
    fn from(from: command::Lead) -> Self {
        Self {
            centre: from.centre.to_string(),
            router: Some(from.router.into()),
            span: from.span.0,
        }
    }
}

impl TryFrom<proto::Lead> for command::Lead {
    type Error = WireError;

    fn try_from(from: proto::Lead) -> Result<Self, WireError> {
        Ok(Self {
            centre: from.centre.into(),
            router: required_router(from.router, "Lead")?,
            span: Millis(from.span),
        })
    }
}

impl From<route::Adopt> for proto::Adopt {
    fn from(from: route::Adopt) -> Self {
        let prepaid = from.prepaid.into_iter().map(|row| proto::Prepaid {
            budget: row.budget.to_string(),
            total: row.total.0,
        });
        Self {
            version: from.version,
            source: from.source.to_vec(),
            prepaid: prepaid.collect(),
        }
    }
}

impl From<proto::Adopt> for route::Adopt {
    fn from(from: proto::Adopt) -> Self {
        let prepaid = from.prepaid.into_iter().map(|row| route::Prepaid {
            budget: row.budget.into(),
            total: Tokens(row.total),
        });
        Self {
            version: from.version,
            source: from.source.into(),
            prepaid: prepaid.collect(),
        }
    }
}

impl From<Evacuate> for proto::Evacuate {
    fn from(from: Evacuate) -> Self {
        Self {
            centre: from.centre.to_string(),
            active: from.active,
            listed: from.listed,
        }
    }
}

impl From<proto::Evacuate> for Evacuate {
    fn from(from: proto::Evacuate) -> Self {
        Self {
            centre: from.centre.into(),
            active: from.active,
            listed: from.listed,
        }
    }
}

impl From<Evacuations> for proto::Evacuations {
    fn from(from: Evacuations) -> Self {
        let centres = from.centres.iter().map(ToString::to_string);
        Self {
            version: from.version,
            centres: centres.collect(),
        }
    }
}

impl From<proto::Evacuations> for Evacuations {
    fn from(from: proto::Evacuations) -> Self {
        Self {
            version: from.version,
            centres: from.centres.into_iter().map(Into::into).collect(),
        }
    }
}
