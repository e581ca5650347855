//! Identities.

use chestnutnotch_core::id;
use chestnutnotch_core::unit::Incarnation;

use super::need;
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

/// Reads a fingerprint.
///
/// # Errors
///
/// [`WireError::Bad`] if it has another length.
pub fn fingerprint(bytes: &[u8], message: &'static str) -> Result<id::Fingerprint, WireError> {
    let bytes = bytes.try_into().map_err(|_| WireError::Bad {
        message,
        field: "body",
    })?;
    Ok(id::Fingerprint(bytes))
}

/// A holder that has to be there.
pub(super) fn holder(
    from: Option<proto::Holder>,
    message: &'static str,
) -> Result<id::Holder, WireError> {
    need(from, message, "holder")
}

/// A request id that has to be there.
pub(super) fn request(
    from: Option<proto::RequestId>,
    message: &'static str,
) -> Result<id::RequestId, WireError> {
    need(from, message, "id")
}

/// A router that has to be there.
pub(super) fn router(
    from: Option<proto::RouterId>,
    message: &'static str,
) -> Result<id::RouterId, WireError> {
    need(from, message, "router")
}
