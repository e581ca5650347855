//! The bill spool: bills that a replica accepts while no quorum responds. They are durable on this
//! disk alone until they are committed to the replicated log.
//!
//! The spool is an append-only file of records, each with its length and a checksum, synced before
//! a bill is acknowledged. An incomplete last record was never acknowledged and is cut off. Once
//! all bills are committed, the file is replaced by one that contains only the seals.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::map::Set;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::error::is_full;
use super::faults::DiskFaults;

/// Name of the spool file.
const FILE: &str = "bills.spool";
/// Name of the file that replaces it, until it is renamed.
const TEMP_FILE: &str = "bills.spool.new";
/// Size of a record's header: the length of the body and its CRC-32, both 4 bytes and
/// little-endian.
const HEADER_BYTES: usize = 8;
/// Largest body of a record.
const RECORD_BYTES: usize = 1 << 20;

/// Error of the spool.
#[derive(Debug, Error)]
pub enum SpoolError {
    /// The operating system reported another error.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No space is left on the disk. Nothing was kept, and the operation may be tried again.
    #[error("{path}: no space left")]
    Full {
        /// The file.
        path: PathBuf,
    },
    /// A record before the last one is damaged.
    #[error("{path}: corrupt record at byte {offset}")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Start of the record, in bytes.
        offset: usize,
    },
    /// The holder of a bill is sealed on this replica, see [`Spool::seal`].
    #[error("{0} is sealed")]
    Sealed(Holder),
    /// A record is too large.
    #[error("a bill of over {RECORD_BYTES} bytes")]
    TooLarge,
}

/// A record of the spool, stored in postcard, which encodes variants by their position.
#[derive(Debug, Deserialize, Serialize)]
enum Record {
    /// A bill to commit.
    Bill(Bill),
    /// Further bills of this holder are refused.
    Seal(Holder),
}

/// The spool of one replica.
#[derive(Debug)]
pub struct Spool {
    /// Path of the data folder.
    folder: PathBuf,
    /// The spool file, open for appending.
    file: File,
    /// Bills that are not known to be committed, oldest first.
    bills: Vec<Bill>,
    /// Holders whose bills are refused.
    sealed: Set<Holder>,
    /// Length of the complete records in the file, in bytes.
    end: u64,
    /// Whether something may follow them that a failed write has left.
    torn: bool,
    /// Room on the disk.
    faults: DiskFaults,
}

impl Spool {
    /// Opens the spool in a data folder, or creates an empty one. Bills that were committed come
    /// back if others in the file were not.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`], [`SpoolError::Full`] and [`SpoolError::Corrupt`].
    pub fn open(folder: impl AsRef<Path>) -> Result<Self, SpoolError> {
        Self::open_with(folder, DiskFaults::default())
    }

    /// Like [`Spool::open`], with simulated room on the disk, for tests.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`], [`SpoolError::Full`] and [`SpoolError::Corrupt`].
    pub fn open_with(folder: impl AsRef<Path>, faults: DiskFaults) -> Result<Self, SpoolError> {
        let folder = folder.as_ref().to_path_buf();
        let path = folder.join(FILE);
        let io = |source| io_error(path.clone(), source);
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(&path)
            .map_err(io)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(io)?;
        let (records, end) = read(&bytes).map_err(|offset| SpoolError::Corrupt {
            path: path.clone(),
            offset,
        })?;
        if end < bytes.len() {
            file.set_len(end as u64).map_err(io)?;
            file.sync_all().map_err(io)?;
        }
        File::open(&folder)
            .and_then(|dir| dir.sync_all())
            .map_err(io)?;
        let mut spool = Self {
            folder,
            file,
            bills: Vec::new(),
            sealed: Set::default(),
            end: end as u64,
            torn: false,
            faults,
        };
        for record in records {
            match record {
                Record::Bill(bill) => spool.bills.push(bill),
                Record::Seal(holder) => {
                    spool.sealed.insert(holder);
                }
            }
        }
        Ok(spool)
    }

    /// Returns the bills that are not known to be committed, oldest first.
    pub fn bills(&self) -> &[Bill] {
        &self.bills
    }

    /// Appends bills and syncs the file.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Sealed`] if a holder is sealed here, and [`SpoolError::TooLarge`]; none of the
    /// bills is kept then. [`SpoolError::Io`] and [`SpoolError::Full`].
    pub fn add(&mut self, bills: Vec<Bill>) -> Result<(), SpoolError> {
        if let Some(bill) = bills.iter().find(|bill| self.sealed.contains(&bill.holder)) {
            return Err(SpoolError::Sealed(bill.holder.clone()));
        }
        let mut bytes = Vec::new();
        for bill in &bills {
            encode_record(&Record::Bill(bill.clone()), &mut bytes)?;
        }
        self.append(&bytes)?;
        self.bills.extend(bills);
        Ok(())
    }

    /// Refuses bills of this holder from now on, also after a restart. Returns whether the spool
    /// contains none of its bills.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`].
    pub fn seal(&mut self, holder: &Holder) -> Result<bool, SpoolError> {
        if !self.sealed.contains(holder) {
            let mut bytes = Vec::new();
            encode_record(&Record::Seal(holder.clone()), &mut bytes)?;
            self.append(&bytes)?;
            self.sealed.insert(holder.clone());
        }
        Ok(self.bills.iter().all(|bill| bill.holder != *holder))
    }

    /// Removes the oldest `count` bills, which are committed. The file shrinks only once no bill is
    /// left.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`].
    pub fn remove_committed(&mut self, count: usize) -> Result<(), SpoolError> {
        self.bills.drain(..count.min(self.bills.len()));
        if self.bills.is_empty() {
            self.compact()?;
        }
        Ok(())
    }

    /// Appends encoded records and syncs the file.
    fn append(&mut self, bytes: &[u8]) -> Result<(), SpoolError> {
        self.write_and_sync(bytes)
            .map_err(|source| io_error(self.folder.join(FILE), source))
    }

    /// Appends bytes after the complete records and syncs the file.
    fn write_and_sync(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.cut_torn()?;
        self.torn = true;
        self.faults.write_all(&self.folder, &mut self.file, bytes)?;
        self.file.sync_data()?;
        self.torn = false;
        self.end += bytes.len() as u64;
        Ok(())
    }

    /// Removes what a failed write has left after the complete records.
    fn cut_torn(&mut self) -> io::Result<()> {
        if self.torn {
            // The file is open for appending, so there is no position to move.
            self.file.set_len(self.end)?;
            self.torn = false;
        }
        Ok(())
    }

    /// Replaces the file by one that contains only the seals.
    fn compact(&mut self) -> Result<(), SpoolError> {
        let mut bytes = Vec::new();
        for holder in &self.sealed {
            encode_record(&Record::Seal(holder.clone()), &mut bytes)?;
        }
        let temp = self.folder.join(TEMP_FILE);
        let path = self.folder.join(FILE);
        self.cut_torn()
            .map_err(|source| io_error(path.clone(), source))?;
        let replaced = write_atomically(&self.folder, &temp, &path, &bytes, &self.faults);
        // After an error, the path may name the old file or the new one.
        let current = OpenOptions::new().append(true).open(&path);
        let io = |source| io_error(path.clone(), source);
        self.file = current.map_err(io)?;
        self.end = self.file.metadata().map_err(io)?.len();
        replaced.map_err(io)?;
        Ok(())
    }
}

/// Returns the error for a failed operation on the file.
fn io_error(path: PathBuf, source: io::Error) -> SpoolError {
    match is_full(source.kind()) {
        true => SpoolError::Full { path },
        false => SpoolError::Io { path, source },
    }
}

/// Replaces a file atomically: writes a temporary file, syncs it and renames it.
fn write_atomically(
    folder: &Path,
    temp: &Path,
    path: &Path,
    bytes: &[u8],
    faults: &DiskFaults,
) -> io::Result<()> {
    let mut file = File::create(temp)?;
    faults.write_all(folder, &mut file, bytes)?;
    file.sync_all()?;
    std::fs::rename(temp, path)?;
    File::open(folder)?.sync_all()
}

/// Appends a record with its header to `out`.
fn encode_record(record: &Record, out: &mut Vec<u8>) -> Result<(), SpoolError> {
    let body = postcard::to_stdvec(record).map_err(|_| SpoolError::TooLarge)?;
    if body.len() > RECORD_BYTES {
        return Err(SpoolError::TooLarge);
    }
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    out.extend_from_slice(&body);
    Ok(())
}

/// Decodes the content of the file. Returns the complete records and where the last of them ends,
/// or the offset of a damaged record that an interrupted write does not explain.
fn read(bytes: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some((length, checksum)) = read_header(&bytes[offset..]) {
        let start = offset + HEADER_BYTES;
        let end = start.saturating_add(length);
        let body = bytes.get(start..end);
        let record = body
            .filter(|body| crc32fast::hash(body) == checksum)
            .and_then(|body| postcard::from_bytes(body).ok());
        match record {
            Some(record) => records.push(record),
            // An interrupted write leaves a record that ends after the file, or a damaged last one.
            None if end >= bytes.len() && length <= RECORD_BYTES => return Ok((records, offset)),
            None => return Err(offset),
        }
        offset = end;
    }
    Ok((records, offset))
}

/// Reads the length and the checksum from a record's header, or returns `None` if it is incomplete.
fn read_header(bytes: &[u8]) -> Option<(usize, u32)> {
    let length = bytes.get(..4)?.try_into().ok()?;
    let checksum = bytes.get(4..HEADER_BYTES)?.try_into().ok()?;
    Some((
        u32::from_le_bytes(length) as usize,
        u32::from_le_bytes(checksum),
    ))
}
