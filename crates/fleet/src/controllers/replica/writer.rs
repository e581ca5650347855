//! Writes to disk: one batch at a time, and the messages that wait for it.

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Position;
use chestnutnotch_core::replica::Save;

use crate::edges::disk::DiskError;
use crate::edges::disk::Folder;

/// A message with its receiver.
pub type Outgoing = (ReplicaId, Message);

/// What was written.
#[derive(Debug)]
pub struct Written {
    folder: Folder,
    last: Option<Position>,
}

/// A batch that was written.
#[derive(Debug)]
pub struct Finished {
    /// Messages that waited for it.
    pub released: Vec<Outgoing>,
    /// Last entry in it.
    pub last: Option<Position>,
}

/// Queue of writes. Writes that arrive while a batch is written share the next one.
#[derive(Debug)]
pub struct Writer {
    folder: Option<Folder>,
    saves: Vec<Save>,
    waiting: Vec<Outgoing>,
    writing: Vec<Outgoing>,
}

impl Writer {
    /// A writer to an open folder.
    pub fn new(folder: Folder) -> Self {
        Self {
            folder: Some(folder),
            saves: Vec::new(),
            waiting: Vec::new(),
            writing: Vec::new(),
        }
    }

    /// Whether a batch is being written.
    pub fn busy(&self) -> bool {
        self.folder.is_none()
    }

    /// Adds a write to the next batch.
    pub fn save(&mut self, save: Save) {
        self.saves.push(save);
    }

    /// Holds a message until all earlier writes are durable; returns it if they are.
    pub fn hold(&mut self, to: ReplicaId, message: Message) -> Option<Outgoing> {
        if !self.saves.is_empty() {
            self.waiting.push((to, message));
        } else if self.busy() {
            self.writing.push((to, message));
        } else {
            return Some((to, message));
        }
        None
    }

    /// Starts the next batch, if there is one and none is being written. The caller runs the
    /// returned function on a thread that may block, and brings its result to [`Writer::finish`].
    pub fn start(&mut self) -> Option<impl FnOnce() -> Result<Written, DiskError> + Send + use<>> {
        if self.saves.is_empty() {
            return None;
        }
        let mut folder = self.folder.take()?;
        let saves = std::mem::take(&mut self.saves);
        self.writing = std::mem::take(&mut self.waiting);
        let last = saves.iter().rev().find_map(last_position);
        Some(move || {
            folder.write(saves)?;
            Ok(Written { folder, last })
        })
    }

    /// Takes a written batch back.
    pub fn finish(&mut self, written: Written) -> Finished {
        self.folder = Some(written.folder);
        Finished {
            released: std::mem::take(&mut self.writing),
            last: written.last,
        }
    }
}

fn last_position(save: &Save) -> Option<Position> {
    match save {
        Save::Vote { .. } | Save::Compact(_) => None,
        Save::Entries(entries) => entries.last().map(|entry| entry.at),
        Save::Install(snapshot) => Some(snapshot.at),
    }
}
