//! Small operations on files, with typed errors.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use super::error::DiskError;
use super::frame;
use super::frame::FrameError;

/// Writes one frame under a name so that the file is there as a whole or not at all.
pub fn replace(folder: &Path, name: &str, payload: &[u8]) -> Result<(), DiskError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let bytes = encode(&path, payload)?;
    let mut file = File::create(&temporary).map_err(|e| DiskError::from_io(&temporary, e))?;
    append(&mut file, &temporary, &bytes)?;
    fs::rename(&temporary, &path).map_err(|e| DiskError::from_io(&path, e))?;
    sync_folder(folder)
}

/// Writes at the end of a file and syncs.
pub fn append(file: &mut File, path: &Path, bytes: &[u8]) -> Result<(), DiskError> {
    file.write_all(bytes)
        .and_then(|()| file.sync_data())
        .map_err(|e| DiskError::from_io(path, e))
}

/// Makes created, renamed and removed names durable.
pub fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    File::open(folder)
        .and_then(|file| file.sync_all())
        .map_err(|e| DiskError::from_io(folder, e))
}

/// Reads a whole file; none if it is not there.
pub fn read(path: &Path) -> Result<Option<Vec<u8>>, DiskError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(DiskError::from_io(path, e)),
    }
}

/// Removes a file if it is there.
pub fn remove(path: &Path) -> Result<(), DiskError> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(DiskError::from_io(path, e)),
        _ => Ok(()),
    }
}

/// Encodes a frame for a file.
pub fn encode(path: &Path, payload: &[u8]) -> Result<Vec<u8>, DiskError> {
    frame::encode(payload).map_err(|e| at_path(path, e))
}

/// Says in which file a frame is wrong.
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

/// A damaged file.
pub fn corrupt(path: &Path, offset: usize) -> DiskError {
    at_path(path, FrameError::Corrupt(offset))
}
