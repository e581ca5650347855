//! The state machine with the last log entry applied to it.

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

/// The committed entry, or the snapshot that ends with it, cannot be encoded or decoded by this
/// version.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("committed entry {0} cannot be encoded or decoded")]
pub struct ApplyError(pub Index);

/// The state machine with the last entry and timestamp applied to it. Its serialized form is the
/// data of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Applied {
    /// Highest timestamp of a command so far, in Unix milliseconds. Timestamps never decrease.
    pub stamp: Millis,
    /// The state machine.
    pub machine: Machine,
    /// Index of the last entry applied. In a snapshot it follows from the snapshot's position.
    #[serde(skip)]
    pub index: Index,
}

impl Applied {
    /// Decodes the state in a snapshot. The initial snapshot of a group is empty.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if it cannot be decoded.
    pub fn restore(snapshot: &Snapshot) -> Result<Self, ApplyError> {
        let index = snapshot.at.index;
        if snapshot.data.is_empty() {
            return Ok(Self::default());
        }
        let decoded = postcard::take_from_bytes::<Self>(&snapshot.data);
        let (mut applied, rest) = decoded.map_err(|_| ApplyError(index))?;
        let appendix = applied.machine.restore_appendix(rest);
        appendix.map_err(|_| ApplyError(index))?;
        Ok(Self { index, ..applied })
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Arc<[u8]>, ApplyError> {
        let error = |_| ApplyError(self.index);
        let mut bytes = postcard::to_stdvec(self).map_err(error)?;
        bytes.extend(self.machine.encode_appendix().map_err(error)?);
        Ok(bytes.into())
    }

    /// Applies the next entry and returns its result, or `None` if it holds no command.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if its command cannot be decoded.
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
