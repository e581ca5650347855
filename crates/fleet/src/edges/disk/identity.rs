//! The file that holds the identity of the replica.

use chestnutnotch_core::id::ReplicaId;

use super::frame;
use super::frame::FrameError;

/// Name of the file.
pub const FILE_NAME: &str = "identity";

/// Encodes an identity as the payload of the file's only frame.
pub fn payload(id: ReplicaId) -> [u8; 8] {
    id.0.to_le_bytes()
}

/// Decodes the content of the file.
///
/// # Errors
///
/// [`FrameError::Corrupt`] unless the content is exactly one frame with an identity.
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
