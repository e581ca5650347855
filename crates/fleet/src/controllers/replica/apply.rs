//! The machine and how far the log is applied to it.

use std::sync::Arc;

use chestnutnotch_core::command::Reply;
use chestnutnotch_core::command::Stamped;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::replica::Entry;
use chestnutnotch_core::replica::Payload;
use chestnutnotch_core::replica::Snapshot;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Millis;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Agreed bytes that this version cannot read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("agreed entry {0} cannot be read")]
pub struct ApplyError(pub Index);

/// The machine with what is needed to continue it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Applied {
    /// Highest stamp so far; stamps never fall.
    pub stamp: Millis,
    /// The state.
    pub machine: Machine,
    /// Highest entry applied.
    #[serde(skip)]
    pub index: Index,
}

impl Applied {
    /// The state in a snapshot.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if it cannot be read.
    pub fn restore(snapshot: &Snapshot) -> Result<Self, ApplyError> {
        let index = snapshot.at.index;
        if snapshot.data.is_empty() {
            return Ok(Self::default());
        }
        match postcard::take_from_bytes::<Self>(&snapshot.data) {
            Ok((applied, [])) => Ok(Self { index, ..applied }),
            _ => Err(ApplyError(index)),
        }
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Arc<[u8]>, ApplyError> {
        let bytes = postcard::to_stdvec(self).map_err(|_| ApplyError(self.index))?;
        Ok(bytes.into())
    }

    /// Applies the next entry; none if it holds no command.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if its command cannot be read.
    pub fn apply(&mut self, entry: &Entry) -> Result<Option<Reply>, ApplyError> {
        self.index = entry.at.index;
        let Payload::Command(bytes) = &entry.payload else {
            return Ok(None);
        };
        let Ok((stamped, [])) = postcard::take_from_bytes::<Stamped>(bytes) else {
            return Err(ApplyError(entry.at.index));
        };
        self.stamp = self.stamp.max(stamped.at);
        Ok(Some(self.machine.apply(&stamped)))
    }
}
