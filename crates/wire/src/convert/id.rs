//! Conversions of identifiers.

use chestnutnotch_core::id;
use chestnutnotch_core::unit::Incarnation;

use super::required;
use crate::WireError;
use crate::proto;

impl From<id::RouterId> for proto::RouterId {
    fn from(from: id::RouterId) -> Self {
        Self {
            host: from.host.to_string(),
            incarnation: from.incarnation.0,
        }
    }
}

impl TryFrom<proto::RouterId> for id::RouterId {
    type Error = WireError;

    fn try_from(from: proto::RouterId) -> Result<Self, WireError> {
        Ok(Self {
            host: from.host.into(),
            incarnation: Incarnation(from.incarnation),
        })
    }
}

impl From<id::Holder> for proto::Holder {
    fn from(from: id::Holder) -> Self {
        let kind = match from {
            id::Holder::Router(router) => proto::holder::Kind::Router(router.into()),
            id::Holder::Region(region) => proto::holder::Kind::Region(region.to_string()),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<proto::Holder> for id::Holder {
    type Error = WireError;

    fn try_from(from: proto::Holder) -> Result<Self, WireError> {
        match from.kind {
            Some(proto::holder::Kind::Router(router)) => Ok(Self::Router(router.try_into()?)),
            Some(proto::holder::Kind::Region(region)) => Ok(Self::Region(region.into())),
            None => Err(WireError::Missing {
                message: "Holder",
                field: "kind",
            }),
        }
    }
}

impl From<id::RequestId> for proto::RequestId {
    fn from(from: id::RequestId) -> Self {
        Self {
            workspace: from.workspace.to_string(),
            key: from.key.to_string(),
        }
    }
}

impl TryFrom<proto::RequestId> for id::RequestId {
    type Error = WireError;

    fn try_from(from: proto::RequestId) -> Result<Self, WireError> {
        Ok(Self {
            workspace: from.workspace.into(),
            key: from.key.into(),
        })
    }
}

/// Converts the `body` field of a message, a fingerprint.
///
/// # Errors
///
/// [`WireError::Invalid`] if the field does not have the length of a fingerprint.
pub fn fingerprint(bytes: &[u8], message: &'static str) -> Result<id::Fingerprint, WireError> {
    let bytes = bytes.try_into().map_err(|_| WireError::Invalid {
        message,
        field: "body",
    })?;
    Ok(id::Fingerprint(bytes))
}

/// Converts the required `holder` field of a message.
pub(super) fn required_holder(
    from: Option<proto::Holder>,
    message: &'static str,
) -> Result<id::Holder, WireError> {
    required(from, message, "holder")
}

/// Converts the required `id` field of a message, a request id.
pub(super) fn required_request_id(
    from: Option<proto::RequestId>,
    message: &'static str,
) -> Result<id::RequestId, WireError> {
    required(from, message, "id")
}

/// Converts the required `router` field of a message.
pub(super) fn required_router(
    from: Option<proto::RouterId>,
    message: &'static str,
) -> Result<id::RouterId, WireError> {
    required(from, message, "router")
}
