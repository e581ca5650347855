//! The data folder as a whole.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::DurableState;
use chestnutnotch_core::replica::Save;
use chestnutnotch_core::replica::Snapshot;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;

use super::error::DiskError;
use super::file;
use super::history::History;
use super::history::last_index;
use super::identity;
use super::segment;
use super::segment::Record;
use super::segment::Segment;
use super::segment::Start;
use super::snapshot;

const LOCK: &str = "lock";

/// An open data folder. Blocking; one thread at a time uses it.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    id: ReplicaId,
    term: Term,
    vote: Option<ReplicaId>,
    closed: Vec<Closed>,
    current: Current,
    _lock: File,
}

/// A segment that is no longer written.
#[derive(Clone, Copy, Debug)]
struct Closed {
    number: u64,
    last: Index,
}

/// The segment being written.
#[derive(Debug)]
struct Current {
    number: u64,
    last: Index,
    path: PathBuf,
    file: File,
}

impl Folder {
    /// Opens a folder, creating it with a new identity if it holds none, and reads its state.
    ///
    /// # Errors
    ///
    /// Any [`DiskError`]. Nothing but an incomplete last frame is repaired.
    pub fn open(path: &Path, fresh: ReplicaId) -> Result<(Self, DurableState), DiskError> {
        fs::create_dir_all(path).map_err(|e| DiskError::from_io(path, e))?;
        let lock = lock(path)?;
        let numbers = numbers(path)?;
        let identity = path.join(identity::NAME);
        let Some(bytes) = file::read(&identity)? else {
            return Self::create(path, fresh, &numbers, lock);
        };
        let id = identity::decode(&bytes).map_err(|e| file::at_path(&identity, e))?;
        Self::load(path, id, numbers, lock)
    }

    /// The replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Makes writes durable, with one sync for those that stand together. After an error the folder
    /// is in an unknown state and has to be opened again.
    ///
    /// # Errors
    ///
    /// Any [`DiskError`].
    pub fn write(&mut self, saves: Vec<Save>) -> Result<(), DiskError> {
        let mut records = Vec::new();
        for save in saves {
            match save {
                Save::Vote { term, vote } => {
                    self.term = term;
                    self.vote = vote;
                    records.push(Record::Vote { term, vote });
                }
                Save::Entries(entries) => records.push(Record::Entries(entries)),
                Save::Compact(snapshot) => {
                    self.flush(&mut records)?;
                    self.keep(&snapshot, false)?;
                }
                Save::Install(snapshot) => {
                    self.flush(&mut records)?;
                    self.keep(&snapshot, true)?;
                }
            }
        }
        self.flush(&mut records)
    }

    fn flush(&mut self, records: &mut Vec<Record>) -> Result<(), DiskError> {
        if records.is_empty() {
            return Ok(());
        }
        let path = &self.current.path;
        let bytes = file::encode(path, &encode(path, records)?)?;
        file::append(&mut self.current.file, path, &bytes)?;
        for record in records.drain(..) {
            if let Some(last) = last_index(&record) {
                self.current.last = self.current.last.max(last);
            }
        }
        Ok(())
    }

    /// Writes a snapshot, begins a new segment and drops those that are no longer needed.
    fn keep(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), DiskError> {
        let payload = encode(&self.path, snapshot)?;
        file::replace(&self.path, snapshot::NAME, &payload)?;
        let start = Start {
            replica: self.id,
            number: self.current.number + 1,
            reset,
            snapshot: Some(snapshot.at.index),
            term: self.term,
            vote: self.vote,
        };
        let old = std::mem::replace(&mut self.current, Current::begin(&self.path, start)?);
        self.closed.push(Closed {
            number: old.number,
            last: old.last,
        });
        file::sync_folder(&self.path)?;
        let needed = |closed: &Closed| !reset && closed.last > snapshot.at.index;
        let count = self
            .closed
            .iter()
            .take_while(|closed| !needed(closed))
            .count();
        for closed in self.closed.drain(..count) {
            file::remove(&self.path.join(segment::name(closed.number)))?;
        }
        Ok(())
    }

    fn create(
        path: &Path,
        id: ReplicaId,
        numbers: &[u64],
        lock: File,
    ) -> Result<(Self, DurableState), DiskError> {
        refuse_orphans(path, numbers)?;
        let start = Start {
            replica: id,
            number: 1,
            reset: true,
            snapshot: None,
            term: Term::ZERO,
            vote: None,
        };
        let current = Current::begin(path, start)?;
        // The identity comes last, so that a folder with an identity always has a log.
        file::replace(path, identity::NAME, &identity::payload(id))?;
        let folder = Self {
            path: path.to_path_buf(),
            id,
            term: Term::ZERO,
            vote: None,
            closed: Vec::new(),
            current,
            _lock: lock,
        };
        Ok((folder, DurableState::default()))
    }

    fn load(
        path: &Path,
        id: ReplicaId,
        mut numbers: Vec<u64>,
        lock: File,
    ) -> Result<(Self, DurableState), DiskError> {
        let snapshot = load_snapshot(path)?;
        let mut history = History::default();
        drop_unbegun(path, &mut numbers)?;
        let (closed, current) = replay(path, id, &numbers, &mut history)?;
        history.check(path, snapshot.as_ref())?;
        let folder = Self {
            path: path.to_path_buf(),
            id,
            term: history.term,
            vote: history.vote,
            closed,
            current,
            _lock: lock,
        };
        let durable = DurableState {
            term: history.term,
            vote: history.vote,
            snapshot: Arc::new(snapshot.unwrap_or_default()),
            entries: history.entries,
        };
        Ok((folder, durable))
    }
}

impl Current {
    fn begin(folder: &Path, start: Start) -> Result<Self, DiskError> {
        let path = folder.join(segment::name(start.number));
        let mut file = File::create(&path).map_err(|e| DiskError::from_io(&path, e))?;
        let payload = encode(&path, &[Record::Start(start)][..])?;
        let bytes = file::encode(&path, &payload)?;
        file::append(&mut file, &path, &bytes)?;
        file::sync_folder(folder)?;
        Ok(Self {
            number: start.number,
            last: Index::ZERO,
            path,
            file,
        })
    }

    /// Opens a segment for writing behind its whole frames and cuts off what follows them.
    fn resume(path: PathBuf, number: u64, last: Index, end: usize) -> Result<Self, DiskError> {
        let cut = || {
            let file = OpenOptions::new().append(true).open(&path)?;
            file.set_len(end as u64)?;
            file.sync_all()?;
            Ok(file)
        };
        let file = cut().map_err(|e| DiskError::from_io(&path, e))?;
        Ok(Self {
            number,
            last,
            path,
            file,
        })
    }
}

fn lock(folder: &Path) -> Result<File, DiskError> {
    let path = folder.join(LOCK);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(|e| DiskError::from_io(&path, e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(DiskError::InUse {
            path: folder.to_path_buf(),
        }),
        Err(TryLockError::Error(e)) => Err(DiskError::from_io(&path, e)),
    }
}

/// Numbers of the segments in the folder, rising.
fn numbers(folder: &Path) -> Result<Vec<u64>, DiskError> {
    let failed = |e| DiskError::from_io(folder, e);
    let mut numbers = Vec::new();
    for item in fs::read_dir(folder).map_err(failed)? {
        let name = item.map_err(failed)?.file_name();
        numbers.extend(name.to_str().and_then(segment::number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Refuses a folder that has lost its identity but not its state.
fn refuse_orphans(folder: &Path, numbers: &[u64]) -> Result<(), DiskError> {
    let missing = || DiskError::Missing {
        path: folder.join(identity::NAME),
    };
    if file::read(&folder.join(snapshot::NAME))?.is_some() {
        return Err(missing());
    }
    for number in numbers {
        let segment = load_segment(&folder.join(segment::name(*number)))?;
        if *number != 1 || !segment.records.is_empty() {
            return Err(missing());
        }
    }
    Ok(())
}

/// Removes a last segment whose creation was interrupted.
fn drop_unbegun(folder: &Path, numbers: &mut Vec<u64>) -> Result<(), DiskError> {
    let [_, .., last] = numbers.as_slice() else {
        return Ok(());
    };
    let path = folder.join(segment::name(*last));
    if load_segment(&path)?.start.is_none() {
        file::remove(&path)?;
        file::sync_folder(folder)?;
        numbers.pop();
    }
    Ok(())
}

fn load_snapshot(folder: &Path) -> Result<Option<Snapshot>, DiskError> {
    let path = folder.join(snapshot::NAME);
    let Some(bytes) = file::read(&path)? else {
        return Ok(None);
    };
    let snapshot = snapshot::decode(&bytes).map_err(|e| file::at_path(&path, e))?;
    Ok(Some(snapshot))
}

/// Reads all segments in order; opens the last one for writing.
fn replay(
    folder: &Path,
    id: ReplicaId,
    numbers: &[u64],
    history: &mut History,
) -> Result<(Vec<Closed>, Current), DiskError> {
    let missing = |number| DiskError::Missing {
        path: folder.join(segment::name(number)),
    };
    let (newest, older) = numbers.split_last().ok_or_else(|| missing(1))?;
    let mut closed = Vec::with_capacity(older.len());
    for (number, next) in older.iter().zip(&numbers[1..]) {
        let path = folder.join(segment::name(*number));
        let segment = load_segment(&path)?;
        check_segment(&path, &segment, id, *number, false)?;
        if *next != number + 1 {
            return Err(missing(number + 1));
        }
        closed.push(Closed {
            number: *number,
            last: history.replay(&path, segment)?,
        });
    }
    let path = folder.join(segment::name(*newest));
    let segment = load_segment(&path)?;
    check_segment(&path, &segment, id, *newest, true)?;
    let end = segment.end;
    let last = history.replay(&path, segment)?;
    Ok((closed, Current::resume(path, *newest, last, end)?))
}

fn load_segment(path: &Path) -> Result<Segment, DiskError> {
    let bytes = file::read(path)?.ok_or_else(|| DiskError::Missing {
        path: path.to_path_buf(),
    })?;
    segment::decode(&bytes).map_err(|e| file::at_path(path, e))
}

fn check_segment(
    path: &Path,
    segment: &Segment,
    id: ReplicaId,
    number: u64,
    last: bool,
) -> Result<(), DiskError> {
    match segment.start {
        Some(start) if start.replica != id => Err(DiskError::Foreign {
            path: path.to_path_buf(),
            found: start.replica,
        }),
        Some(start) if start.number == number && (last || !segment.torn) => Ok(()),
        _ => Err(file::corrupt(path, segment.end)),
    }
}

fn encode(path: &Path, value: &(impl serde::Serialize + ?Sized)) -> Result<Vec<u8>, DiskError> {
    postcard::to_stdvec(value).map_err(|_| DiskError::Oversized {
        path: path.to_path_buf(),
        bytes: usize::MAX,
    })
}
