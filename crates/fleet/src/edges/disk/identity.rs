//! The identity file.

use chestnutnotch_core::id::ReplicaId;

use super::frame;
use super::frame::FrameError;

/// Name of the file.
pub const NAME: &str = "identity";

/// Payload of the file's only frame.
pub fn payload(id: ReplicaId) -> [u8; 8] {
    id.0.to_le_bytes()
}

/// Reads the file.
///
/// # Errors
///
/// [`FrameError::Corrupt`] unless it is one whole frame with an identity.
pub fn decode(bytes: &[u8]) -> Result<ReplicaId, FrameError> {
    let scan = frame::scan(bytes)?;
    let [range] = scan.payloads.as_slice() else {
        return Err(FrameError::Corrupt(0));
    };
    let payload = bytes
        .get(range.clone())
        .and_then(|payload| payload.try_into().ok());
    match payload {
        Some(number) if !scan.torn => Ok(ReplicaId(u64::from_le_bytes(number))),
        _ => Err(FrameError::Corrupt(0)),
    }
}
