//! The file that holds the latest snapshot.

use chestnutnotch_core::replica::Snapshot;

use super::frame;
use super::frame::FrameError;

/// Name of the file.
pub const FILE_NAME: &str = "snapshot";

/// Decodes the content of the file.
///
/// # Errors
///
/// [`FrameError::Corrupt`] unless the content is exactly one frame with a snapshot.
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
