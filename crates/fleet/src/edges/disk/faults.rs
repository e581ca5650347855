//! A simulated full disk, for tests.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Room on a disk. Without a simulated bound, writes go to the disk as they are. Clones share it.
#[derive(Clone, Debug)]
pub struct DiskFaults {
    /// Number of bytes that may still be written.
    room: Arc<AtomicU64>,
    /// Size of the disk, in bytes, which holds only the folder that is written to.
    capacity: Arc<AtomicU64>,
}

/// Value of `room` without a bound.
const UNBOUNDED: u64 = u64::MAX;

impl Default for DiskFaults {
    fn default() -> Self {
        Self {
            room: Arc::new(AtomicU64::new(UNBOUNDED)),
            capacity: Arc::new(AtomicU64::new(UNBOUNDED)),
        }
    }
}

impl DiskFaults {
    /// Bounds the number of bytes that may still be written. `None` removes the bound.
    pub fn set_room(&self, bytes: Option<u64>) {
        self.room
            .store(bytes.unwrap_or(UNBOUNDED), Ordering::Release);
    }

    /// Sets the size of the disk, in bytes. Files of the folder that is written to take room until they
    /// are removed.
    pub fn set_capacity(&self, bytes: u64) {
        self.capacity.store(bytes, Ordering::Release);
    }

    /// Writes to a file in a folder. Of bytes that exceed the bound, only the first ones are written.
    pub(super) fn write_all(&self, folder: &Path, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let room = self.room.load(Ordering::Acquire).min(self.left(folder)?);
        if room == UNBOUNDED {
            return file.write_all(bytes);
        }
        let count = bytes.len().min(usize::try_from(room).unwrap_or(usize::MAX));
        file.write_all(&bytes[..count])?;
        if self.room.load(Ordering::Acquire) != UNBOUNDED {
            self.room.fetch_sub(count as u64, Ordering::AcqRel);
        }
        match count == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    /// Returns the room that the files in a folder leave on the disk, in bytes.
    fn left(&self, folder: &Path) -> io::Result<u64> {
        let capacity = self.capacity.load(Ordering::Acquire);
        if capacity == UNBOUNDED {
            return Ok(UNBOUNDED);
        }
        let mut used = 0;
        for item in fs::read_dir(folder)? {
            used += item?.metadata()?.len();
        }
        Ok(capacity.saturating_sub(used))
    }
}
