//! Bills that are safe on this disk alone, for the time without a quorum.
//!
//! One append-only file of records, each with its length and a checksum, synced before a bill is
//! acknowledged. A torn last record was never acknowledged and is cut off. When all bills are
//! agreed on, the file is written anew with the seals alone.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::id::Holder;
use chestnutnotch_core::map::Set;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

const FILE: &str = "bills.spool";
const TEMP_FILE: &str = "bills.spool.new";
const HEAD_BYTES: usize = 8;
/// Longest record that is read back.
const RECORD_BYTES: usize = 1 << 20;

/// Why the spool can't be used.
#[derive(Debug, Error)]
pub enum SpoolError {
    /// The disk failed or is full.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A record before the last one fails its checksum.
    #[error("{path}: corrupt record at byte {offset}")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where the record starts.
        offset: usize,
    },
    /// The holder of a bill is sealed on this replica.
    #[error("{0} is sealed")]
    Sealed(Holder),
    /// A bill is too long to be kept.
    #[error("a bill of over {RECORD_BYTES} bytes")]
    Long,
}

#[derive(Debug, Deserialize, Serialize)]
enum Record {
    Bill(Bill),
    Seal(Holder),
}

/// The spool of one replica.
#[derive(Debug)]
pub struct Spool {
    folder: PathBuf,
    file: File,
    bills: Vec<Bill>,
    sealed: Set<Holder>,
}

impl Spool {
    /// Opens the spool in a data folder, or makes an empty one.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`] and [`SpoolError::Corrupt`].
    pub fn open(folder: impl AsRef<Path>) -> Result<Self, SpoolError> {
        let folder = folder.as_ref().to_path_buf();
        let path = folder.join(FILE);
        let io = |source| SpoolError::Io {
            path: path.clone(),
            source,
        };
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

    /// Bills that are not known to be agreed on.
    pub fn bills(&self) -> &[Bill] {
        &self.bills
    }

    /// Syncs bills to the disk.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Sealed`] if a holder is sealed here; then none is kept. [`SpoolError::Io`].
    pub fn add(&mut self, bills: Vec<Bill>) -> Result<(), SpoolError> {
        if let Some(bill) = bills.iter().find(|bill| self.sealed.contains(&bill.holder)) {
            return Err(SpoolError::Sealed(bill.holder.clone()));
        }
        let mut bytes = Vec::new();
        for bill in &bills {
            frame(&Record::Bill(bill.clone()), &mut bytes)?;
        }
        self.append(&bytes)?;
        self.bills.extend(bills);
        Ok(())
    }

    /// Refuses bills of this holder from now on, also after a restart. Returns whether none of its
    /// bills is left here.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`].
    pub fn seal(&mut self, holder: &Holder) -> Result<bool, SpoolError> {
        if !self.sealed.contains(holder) {
            let mut bytes = Vec::new();
            frame(&Record::Seal(holder.clone()), &mut bytes)?;
            self.append(&bytes)?;
            self.sealed.insert(holder.clone());
        }
        Ok(self.bills.iter().all(|bill| bill.holder != *holder))
    }

    /// Forgets the oldest bills, which are agreed on. The file shrinks when none is left.
    ///
    /// # Errors
    ///
    /// [`SpoolError::Io`].
    pub fn agreed(&mut self, count: usize) -> Result<(), SpoolError> {
        self.bills.drain(..count.min(self.bills.len()));
        if self.bills.is_empty() {
            self.rewrite()?;
        }
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), SpoolError> {
        self.file
            .write_all(bytes)
            .and_then(|()| self.file.sync_data())
            .map_err(|source| SpoolError::Io {
                path: self.folder.join(FILE),
                source,
            })
    }

    fn rewrite(&mut self) -> Result<(), SpoolError> {
        let mut bytes = Vec::new();
        for holder in &self.sealed {
            frame(&Record::Seal(holder.clone()), &mut bytes)?;
        }
        let temp = self.folder.join(TEMP_FILE);
        let path = self.folder.join(FILE);
        self.file = replace(&self.folder, &temp, &path, &bytes)
            .map_err(|source| SpoolError::Io { path, source })?;
        Ok(())
    }
}

/// Writes a file beside the old one, syncs it and moves it over the old one.
fn replace(folder: &Path, temp: &Path, path: &Path, bytes: &[u8]) -> io::Result<File> {
    let mut file = File::create(temp)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(temp, path)?;
    File::open(folder)?.sync_all()?;
    OpenOptions::new().append(true).open(path)
}

fn frame(record: &Record, out: &mut Vec<u8>) -> Result<(), SpoolError> {
    let body = postcard::to_stdvec(record).map_err(|_| SpoolError::Long)?;
    if body.len() > RECORD_BYTES {
        return Err(SpoolError::Long);
    }
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    out.extend_from_slice(&body);
    Ok(())
}

/// Reads records up to a torn tail. Gives them with the end of the last whole one, or the offset of
/// a corrupt record that is not the last.
fn read(bytes: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some((length, sum)) = head(&bytes[at..]) {
        let start = at + HEAD_BYTES;
        let end = start.saturating_add(length);
        let whole = bytes.get(start..end);
        let record = whole
            .filter(|body| crc32fast::hash(body) == sum)
            .and_then(|body| postcard::from_bytes(body).ok());
        match record {
            Some(record) => records.push(record),
            // A length beyond the end of the file, or a bad last record, is a torn write.
            None if end >= bytes.len() && length <= RECORD_BYTES => return Ok((records, at)),
            None => return Err(at),
        }
        at = end;
    }
    Ok((records, at))
}

fn head(bytes: &[u8]) -> Option<(usize, u32)> {
    let length = bytes.get(..4)?.try_into().ok()?;
    let sum = bytes.get(4..HEAD_BYTES)?.try_into().ok()?;
    Some((u32::from_le_bytes(length) as usize, u32::from_le_bytes(sum)))
}
