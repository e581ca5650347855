//! Conversions of upstream announcements.

use chestnutnotch_core::unit::Incarnation;
use chestnutnotch_core::upstream;
use chestnutnotch_core::upstream::Announcement;
use chestnutnotch_core::upstream::Offer;
use chestnutnotch_core::upstream::Phase;
use chestnutnotch_core::upstream::announce::Loaded;

use super::convert;
use super::narrow;
use super::try_convert;
use crate::WireError;
use crate::proto;
use crate::proto::announcement;

impl From<Announcement> for proto::Announcement {
    fn from(from: Announcement) -> Self {
        let offer = match from.offer {
            Offer::Models(models) => announcement::Offer::Models(proto::LoadedModels {
                models: convert(models),
            }),
            Offer::Service(service) => announcement::Offer::Service(service.to_string()),
        };
        Self {
            upstream: from.upstream.to_string(),
            incarnation: from.incarnation.0,
            seq: from.seq,
            address: from.address.to_string(),
            centre: from.centre.to_string(),
            leaving: from.phase == Phase::Leaving,
            slots: from.slots,
            running: from.load.running,
            waiting: from.load.waiting,
            cache: from.load.cache.into(),
            fences: from.fences,
            cached: from.cached,
            evicted: from.evicted,
            offer: Some(offer),
        }
    }
}

impl TryFrom<proto::Announcement> for Announcement {
    type Error = WireError;

    fn try_from(from: proto::Announcement) -> Result<Self, WireError> {
        let message = "Announcement";
        let offer = match from.offer {
            Some(announcement::Offer::Models(models)) => Offer::Models(try_convert(models.models)?),
            Some(announcement::Offer::Service(service)) => Offer::Service(service.into()),
            None => {
                return Err(WireError::Missing {
                    message,
                    field: "offer",
                });
            }
        };
        let phase = if from.leaving {
            Phase::Leaving
        } else {
            Phase::Ready
        };
        let address = from.address.parse().map_err(|_| WireError::Invalid {
            message,
            field: "address",
        })?;
        Ok(Self {
            upstream: from.upstream.into(),
            incarnation: Incarnation(from.incarnation),
            seq: from.seq,
            address,
            centre: from.centre.into(),
            phase,
            offer,
            slots: from.slots,
            load: upstream::Load {
                running: from.running,
                waiting: from.waiting,
                cache: narrow(from.cache, message, "cache")?,
            },
            fences: from.fences,
            cached: from.cached,
            evicted: from.evicted,
        })
    }
}

impl From<Loaded> for proto::Loaded {
    fn from(from: Loaded) -> Self {
        Self {
            model: from.model.to_string(),
            adapter: from.adapter.map(|adapter| adapter.to_string()),
            version: from.version,
        }
    }
}

impl TryFrom<proto::Loaded> for Loaded {
    type Error = WireError;

    fn try_from(from: proto::Loaded) -> Result<Self, WireError> {
        Ok(Self {
            model: from.model.into(),
            adapter: from.adapter.map(Into::into),
            version: from.version,
        })
    }
}
