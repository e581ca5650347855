//! A simulated full disk, for tests.

use std::fs::File;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Room on a disk. Without a simulated bound, writes go to the disk as they are. Clones share it.
#[derive(Clone, Debug)]
pub struct DiskFaults {
    /// Number of bytes that may still be written.
    room: Arc<AtomicU64>,
}

/// Value of `room` without a bound.
const UNBOUNDED: u64 = u64::MAX;

impl Default for DiskFaults {
    fn default() -> Self {
        Self {
            room: Arc::new(AtomicU64::new(UNBOUNDED)),
        }
    }
}

impl DiskFaults {
    /// Bounds the number of bytes that may still be written. `None` removes the bound.
    pub fn set_room(&self, bytes: Option<u64>) {
        self.room
            .store(bytes.unwrap_or(UNBOUNDED), Ordering::Release);
    }

    /// Writes to a file. Of bytes that exceed the bound, only the first ones are written.
    pub(super) fn write_all(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let room = self.room.load(Ordering::Acquire);
        if room == UNBOUNDED {
            return file.write_all(bytes);
        }
        let count = bytes.len().min(usize::try_from(room).unwrap_or(usize::MAX));
        file.write_all(&bytes[..count])?;
        self.room.fetch_sub(count as u64, Ordering::AcqRel);
        match count == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }
}
