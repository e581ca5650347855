//! The snapshot file.

use chestnutnotch_core::replica::Snapshot;

use super::frame;
use super::frame::FrameError;

/// Name of the file.
pub const NAME: &str = "snapshot";

/// Reads the file.
///
/// # Errors
///
/// [`FrameError::Corrupt`] unless it is one whole frame with a snapshot.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, FrameError> {
    let scan = frame::scan(bytes)?;
    let [range] = scan.payloads.as_slice() else {
        return Err(FrameError::Corrupt(0));
    };
    let payload = bytes.get(range.clone()).unwrap_or_default();
    match postcard::take_from_bytes(payload) {
        Ok((snapshot, [])) if !scan.torn => Ok(snapshot),
        _ => Err(FrameError::Corrupt(0)),
    }
}
