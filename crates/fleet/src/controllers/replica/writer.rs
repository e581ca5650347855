//! Batches disk writes, one batch at a time, and holds back messages until the writes before them
//! are durable.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Position;
use chestnutnotch_core::replica::Save;

use crate::edges::disk::DiskError;
use crate::edges::disk::Folder;

/// A message with its receiver.
pub type Outgoing = (ReplicaId, Message);

/// Result of a successful batch: the folder, which goes back to the [`Writer`].
#[derive(Debug)]
pub struct WrittenBatch {
    /// The folder that was written to.
    folder: Folder,
    /// Last entry in the batch, if any.
    last: Option<Position>,
}

/// What a durable batch allows to happen next.
#[derive(Debug)]
pub struct CompletedBatch {
    /// Messages that waited for the batch and may be sent.
    pub released: Vec<Outgoing>,
    /// Last entry in the batch, if any; the log is durable up to it.
    pub last: Option<Position>,
}

/// Time after which a write is tried again that found the disk full.
pub const FULL_RETRY_PERIOD: Duration = Duration::from_millis(100);

/// Queue of disk writes. Those that arrive while a batch is written form the next one.
#[derive(Debug)]
pub struct Writer {
    /// The data folder; `None` while a batch is being written.
    folder: Option<Folder>,
    /// Writes of the next batch.
    saves: Vec<Save>,
    /// Messages that wait for the next batch.
    queued_messages: Vec<Outgoing>,
    /// Messages that wait for the batch that is being written.
    batch_messages: Vec<Outgoing>,
    /// Whether to give up on a full disk.
    stopping: Arc<AtomicBool>,
}

impl Writer {
    /// Creates a writer to an open folder.
    pub fn new(folder: Folder) -> Self {
        Self {
            folder: Some(folder),
            saves: Vec::new(),
            queued_messages: Vec::new(),
            batch_messages: Vec::new(),
            stopping: Arc::default(),
        }
    }

    /// Lets a batch fail that waits for room on the disk. Those to come do not wait.
    pub fn give_up(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether a batch is being written.
    pub fn busy(&self) -> bool {
        self.folder.is_none()
    }

    /// Adds a write to the next batch.
    pub fn save(&mut self, save: Save) {
        self.saves.push(save);
    }

    /// Holds back a message until all earlier writes are durable, or returns it if they already
    /// are.
    pub fn hold(&mut self, to: ReplicaId, message: Message) -> Option<Outgoing> {
        if !self.saves.is_empty() {
            self.queued_messages.push((to, message));
        } else if self.busy() {
            self.batch_messages.push((to, message));
        } else {
            return Some((to, message));
        }
        None
    }

    /// Starts the next batch, if there is one and none is being written. While the disk is full the
    /// batch is not done, as on a disk that stalls: nothing is lost, and nothing that depends on it
    /// is sent; `on_full` is called once then. The caller runs the
    /// returned function on a thread that may block, and passes its result to [`Writer::finish`].
    pub fn start<F: FnOnce() + Send>(
        &mut self,
        on_full: F,
    ) -> Option<impl FnOnce() -> Result<WrittenBatch, DiskError> + Send + use<F>> {
        if self.saves.is_empty() {
            return None;
        }
        let mut folder = self.folder.take()?;
        let saves = std::mem::take(&mut self.saves);
        self.batch_messages = std::mem::take(&mut self.queued_messages);
        let last = saves.iter().rev().find_map(last_position);
        let stopping = Arc::clone(&self.stopping);
        Some(move || {
            write_with_room(&mut folder, saves, &stopping, on_full)?;
            Ok(WrittenBatch { folder, last })
        })
    }

    /// Ends a batch and returns the messages that waited for it.
    pub fn finish(&mut self, written: WrittenBatch) -> CompletedBatch {
        self.folder = Some(written.folder);
        CompletedBatch {
            released: std::mem::take(&mut self.batch_messages),
            last: written.last,
        }
    }
}

/// Writes to the folder. Tries again while the disk is full, unless the replica stops.
fn write_with_room(
    folder: &mut Folder,
    saves: Vec<Save>,
    stopping: &AtomicBool,
    on_full: impl FnOnce(),
) -> Result<(), DiskError> {
    let mut saves = VecDeque::from(saves);
    match folder.write_next(&mut saves) {
        Err(error @ DiskError::Full { .. }) => {
            log::error!("the replica waits for room on the disk: {error}");
            on_full();
        }
        written => return written,
    }
    loop {
        if !stopping.load(Ordering::Acquire) {
            thread::sleep(FULL_RETRY_PERIOD);
        }
        let written = folder.repair().and_then(|()| folder.write_next(&mut saves));
        match written {
            Err(DiskError::Full { .. }) if !stopping.load(Ordering::Acquire) => {}
            Ok(()) => {
                log::info!("the disk of the replica has room again");
                return Ok(());
            }
            Err(error) => return Err(error),
        }
    }
}

/// Returns the position of the last entry that a write makes durable. A compaction writes no
/// entries.
fn last_position(save: &Save) -> Option<Position> {
    match save {
        Save::Vote { .. } | Save::Compact(_) => None,
        Save::Entries(entries) => entries.last().map(|entry| entry.at),
        Save::Install(snapshot) => Some(snapshot.at),
    }
}
