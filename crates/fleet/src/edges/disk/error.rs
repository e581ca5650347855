//! Errors of the data folder.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use chestnutnotch_core::id::ReplicaId;
use thiserror::Error;

/// Error of the data folder. The replica stops, or does not start, after any of them but
/// [`DiskError::Full`], after which the write may be repeated.
#[derive(Debug, Error)]
pub enum DiskError {
    /// No space is left.
    #[error("{}: no space left", path.display())]
    Full {
        /// The file being written.
        path: PathBuf,
    },
    /// Another process uses the folder.
    #[error("{}: in use by another process", path.display())]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// A file has a wrong checksum or an invalid structure.
    #[error("{}: damaged at byte {offset}", path.display())]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// Start of the first damaged frame.
        offset: u64,
    },
    /// A file is missing although other files show that it existed.
    #[error("{}: missing", path.display())]
    Missing {
        /// The missing file.
        path: PathBuf,
    },
    /// A file was written by another replica.
    #[error("{}: belongs to replica {found}", path.display())]
    Foreign {
        /// The file.
        path: PathBuf,
        /// Identity of that replica.
        found: ReplicaId,
    },
    /// Entries between the snapshot and the first entry of the log are missing.
    #[error("{}: entries before the log's first one are missing", path.display())]
    Gap {
        /// The folder.
        path: PathBuf,
    },
    /// A single write exceeds the size of a frame.
    #[error("{}: {bytes} bytes do not fit a frame", path.display())]
    Oversized {
        /// The file being written.
        path: PathBuf,
        /// Size of the write in bytes; the maximum of the type if it could not be encoded at all.
        bytes: usize,
    },
    /// Any other error of the operating system.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl DiskError {
    /// Converts an error of the operating system. A full disk or an exhausted quota is
    /// [`DiskError::Full`].
    pub fn from_io(path: &Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        match source.kind() {
            kind if is_full(kind) => Self::Full { path },
            _ => Self::Io { path, source },
        }
    }
}

/// Returns whether an error says that there is no room on the disk.
pub fn is_full(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}
