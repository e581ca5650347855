//! Operations on files that return a [`DiskError`].

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;

use super::error::DiskError;
use super::faults::DiskFaults;
use super::frame;
use super::frame::FrameError;
use super::frame::ReadError;

/// Writes a file with one frame atomically: a crash leaves either the old file or the new one.
/// Writes a temporary file, syncs it and renames it.
pub fn write_atomically(
    folder: &Path,
    name: &str,
    payload: &[u8],
    faults: &DiskFaults,
) -> Result<(), DiskError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let bytes = encode(&path, payload)?;
    let mut file = File::create(&temporary).map_err(|e| DiskError::from_io(&temporary, e))?;
    append_and_sync(&mut file, &temporary, &bytes, faults)?;
    fs::rename(&temporary, &path).map_err(|e| DiskError::from_io(&path, e))?;
    sync_folder(folder)
}

/// Writes at the current position, which is the end of the file, and syncs the data.
pub fn append_and_sync(
    file: &mut File,
    path: &Path,
    bytes: &[u8],
    faults: &DiskFaults,
) -> Result<(), DiskError> {
    let folder = path.parent().unwrap_or(path);
    faults
        .write_all(folder, file, bytes)
        .and_then(|()| file.sync_data())
        .map_err(|e| DiskError::from_io(path, e))
}

/// Syncs a folder, which makes the creation, renaming and removal of its files durable.
pub fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    File::open(folder)
        .and_then(|file| file.sync_all())
        .map_err(|e| DiskError::from_io(folder, e))
}

/// Reads a whole file, or returns `None` if it does not exist.
pub fn read_if_exists(path: &Path) -> Result<Option<Vec<u8>>, DiskError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(DiskError::from_io(path, e)),
    }
}

/// Empties a file if it exists.
pub fn empty_if_exists(path: &Path) -> Result<(), DiskError> {
    match OpenOptions::new().write(true).truncate(true).open(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(DiskError::from_io(path, e)),
        _ => Ok(()),
    }
}

/// Removes a file if it exists.
pub fn remove_if_exists(path: &Path) -> Result<(), DiskError> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(DiskError::from_io(path, e)),
        _ => Ok(()),
    }
}

/// Encodes a frame. The path is for the error alone.
pub fn encode(path: &Path, payload: &[u8]) -> Result<Vec<u8>, DiskError> {
    frame::encode(payload).map_err(|e| at_path(path, e))
}

/// Adds the path of the file to a frame error.
pub fn at_path(path: &Path, error: FrameError) -> DiskError {
    let path = path.to_path_buf();
    match error {
        FrameError::Corrupt(offset) => DiskError::Corrupt {
            path,
            offset: offset as u64,
        },
        FrameError::Oversized(bytes) => DiskError::Oversized { path, bytes },
    }
}

/// Adds the path of the file to an error of reading its frames.
pub fn read_error(path: &Path, error: ReadError) -> DiskError {
    match error {
        ReadError::Frame(error) => at_path(path, error),
        ReadError::Io(error) => DiskError::from_io(path, error),
    }
}

/// Returns the error for a file that is damaged at an offset, in bytes.
pub fn corrupt(path: &Path, offset: usize) -> DiskError {
    at_path(path, FrameError::Corrupt(offset))
}
