//! Errors of the data folder.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use chestnutnotch_core::id::ReplicaId;
use thiserror::Error;

/// What is wrong with the data folder. After any of these the replica does not serve.
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
    /// A checksum or the structure does not hold.
    #[error("{}: damaged at byte {offset}", path.display())]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// Start of the first damaged frame.
        offset: u64,
    },
    /// A file that others imply is not there.
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
        /// Whose it is.
        found: ReplicaId,
    },
    /// The snapshot and the log leave a gap between them.
    #[error("{}: entries before the log's first one are missing", path.display())]
    Gap {
        /// The folder.
        path: PathBuf,
    },
    /// More was to be written at once than a frame holds.
    #[error("{}: {bytes} bytes do not fit a frame", path.display())]
    Oversized {
        /// The file being written.
        path: PathBuf,
        /// How much there was.
        bytes: usize,
    },
    /// The operating system refused.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Its reason.
        source: io::Error,
    },
}

impl DiskError {
    /// Types an error of the operating system.
    pub fn from_io(path: &Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { path },
            _ => Self::Io { path, source },
        }
    }
}
