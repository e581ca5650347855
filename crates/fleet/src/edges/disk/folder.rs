//! Opens a data folder, reads the replica's state from it and writes to it.

use std::collections::VecDeque;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::BufReader;
use std::io::Seek;
use std::io::SeekFrom;
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
use super::faults::DiskFaults;
use super::file;
use super::history::History;
use super::history::last_index;
use super::identity;
use super::segment;
use super::segment::Record;
use super::segment::Segment;
use super::segment::Start;
use super::snapshot;

/// Name of the file that a process locks while it uses the folder.
const LOCK_FILE: &str = "lock";

/// Name of a snapshot that is not complete.
const NEW_SNAPSHOT_FILE: &str = "snapshot.new";

/// Size, in bytes, after which a segment is closed and the next one begins. A segment is removed as a
/// whole, so up to this much of the log stays on disk although a snapshot contains it.
const SEGMENT_BYTES: u64 = 1 << 20;

/// An open data folder, locked against other processes. Its methods block.
#[derive(Debug)]
pub struct Folder {
    /// Path of the folder.
    path: PathBuf,
    /// Identity of the replica.
    id: ReplicaId,
    /// Latest term written, repeated at the start of each segment.
    term: Term,
    /// Vote in that term.
    vote: Option<ReplicaId>,
    /// Last entry in the snapshot on disk, or `None` if there is none.
    snapshot: Option<Index>,
    /// Complete segments that have not been removed yet, in order.
    closed: Vec<ClosedSegment>,
    /// The segment being written.
    active: ActiveSegment,
    /// Room on the disk.
    faults: DiskFaults,
    /// Lock file; closing it releases the lock.
    _lock: File,
}

/// A segment that is complete and may be removed once a snapshot contains its entries.
#[derive(Clone, Copy, Debug)]
struct ClosedSegment {
    /// Number of the segment.
    number: u64,
    /// Highest index in the segment, or zero if it contains no entries.
    last: Index,
}

/// The segment being written.
#[derive(Debug)]
struct ActiveSegment {
    /// Number of the segment.
    number: u64,
    /// Highest index in the segment, or zero if it contains no entries.
    last: Index,
    /// Path of the segment's file.
    path: PathBuf,
    /// The open file, positioned at its end.
    file: File,
    /// Length of its complete frames, in bytes.
    end: u64,
}

impl Folder {
    /// Opens a folder and reads its state. A folder without an identity is initialized with the
    /// identity `fresh`, provided that it contains no state.
    ///
    /// # Errors
    ///
    /// Any [`DiskError`]. Only the remains of an interrupted write are repaired: an incomplete last
    /// frame is cut off, and a last segment without a start record is removed.
    pub fn open(path: &Path, new_id: ReplicaId) -> Result<(Self, DurableState), DiskError> {
        Self::open_with(path, new_id, DiskFaults::default())
    }

    /// Like [`Folder::open`], with simulated room on the disk, for tests.
    ///
    /// # Errors
    ///
    /// Any [`DiskError`].
    pub fn open_with(
        path: &Path,
        new_id: ReplicaId,
        faults: DiskFaults,
    ) -> Result<(Self, DurableState), DiskError> {
        fs::create_dir_all(path).map_err(|e| DiskError::from_io(path, e))?;
        let lock = lock(path)?;
        let segment_numbers = segment_numbers(path)?;
        let identity = path.join(identity::FILE_NAME);
        let Some(bytes) = file::read_if_exists(&identity)? else {
            return Self::create(path, new_id, &segment_numbers, lock, faults);
        };
        let id = identity::decode(&bytes).map_err(|e| file::at_path(&identity, e))?;
        Self::load(path, id, segment_numbers, lock, faults)
    }

    /// Returns the identity of the replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Makes writes durable. Consecutive votes and entries share one sync. After an error the state of
    /// the folder is unknown and it has to be opened again.
    ///
    /// # Errors
    ///
    /// Any [`DiskError`].
    pub fn write(&mut self, saves: Vec<Save>) -> Result<(), DiskError> {
        self.write_next(&mut saves.into())
    }

    /// Makes writes durable and removes each of them from the queue once it is. After
    /// [`DiskError::Full`], [`Folder::repair`] and what is left in the queue may be tried again. After
    /// another error the state of the folder is unknown and it has to be opened again.
    ///
    /// # Errors
    ///
    /// Any [`DiskError`].
    pub fn write_next(&mut self, saves: &mut VecDeque<Save>) -> Result<(), DiskError> {
        self.remove_next_covered()?;
        while let Some(save) = saves.front() {
            match save {
                Save::Compact(snapshot) => {
                    let snapshot = Arc::clone(snapshot);
                    self.write_snapshot(&snapshot, false)?;
                    saves.pop_front();
                }
                Save::Install(snapshot) => {
                    let snapshot = Arc::clone(snapshot);
                    self.write_snapshot(&snapshot, true)?;
                    saves.pop_front();
                }
                Save::Vote { .. } | Save::Entries(_) => {
                    let records: Vec<Record> = saves.iter().map_while(record).collect();
                    let count = records.len();
                    self.append(records)?;
                    saves.drain(..count);
                }
            }
        }
        Ok(())
    }

    /// Removes what a write left behind that failed for want of room.
    ///
    /// # Errors
    ///
    /// Any [`DiskError`].
    pub fn repair(&mut self) -> Result<(), DiskError> {
        // A part of a snapshot would hold the room that it lacks.
        file::empty_if_exists(&self.path.join(NEW_SNAPSHOT_FILE))?;
        // The segment after the current one, if the write began it.
        let next = segment::file_name(self.active.number + 1);
        file::remove_if_exists(&self.path.join(next))?;
        let active = &mut self.active;
        let cut = active
            .file
            .set_len(active.end)
            .and_then(|()| active.file.seek(SeekFrom::Start(active.end)))
            .and_then(|_| active.file.sync_all());
        cut.map_err(|e| DiskError::from_io(&active.path, e))?;
        file::sync_folder(&self.path)
    }

    /// Appends records to the current segment as one frame and syncs it.
    fn append(&mut self, records: Vec<Record>) -> Result<(), DiskError> {
        for record in &records {
            if let Record::Vote { term, vote } = record {
                self.term = *term;
                self.vote = *vote;
            }
        }
        if self.active.end >= SEGMENT_BYTES {
            self.begin_segment(false)?;
        }
        let path = &self.active.path;
        let bytes = file::encode(path, &encode(path, &records)?)?;
        file::append_and_sync(&mut self.active.file, path, &bytes, &self.faults)?;
        self.active.end += bytes.len() as u64;
        let last = records.iter().filter_map(last_index).max();
        self.active.last = self.active.last.max(last.unwrap_or_default());
        Ok(())
    }

    /// Writes a snapshot, starts a new segment and removes the segments that are no longer needed.
    /// If `reset` is set, the snapshot replaces all entries written so far.
    fn write_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), DiskError> {
        let payload = encode(&self.path, snapshot)?;
        file::write_atomically(&self.path, snapshot::FILE_NAME, &payload, &self.faults)?;
        self.snapshot = Some(snapshot.at.index);
        self.begin_segment(reset)?;
        if reset {
            for closed in &mut self.closed {
                closed.last = Index::ZERO;
            }
        }
        Ok(())
    }

    /// Removes the oldest closed segment if the snapshot contains its entries or has replaced them. One
    /// is removed with each write, durably, since a missing segment between others is an error when the
    /// folder is opened, and since all of them at once would hold back a write for as many syncs.
    fn remove_next_covered(&mut self) -> Result<(), DiskError> {
        let Some(closed) = self.closed.first() else {
            return Ok(());
        };
        if self.snapshot.is_none_or(|snapshot| closed.last > snapshot) {
            return Ok(());
        }
        file::remove_if_exists(&self.path.join(segment::file_name(closed.number)))?;
        file::sync_folder(&self.path)?;
        self.closed.remove(0);
        Ok(())
    }

    /// Closes the current segment and starts the next one. If `reset` is set, the snapshot replaces all
    /// entries written so far.
    fn begin_segment(&mut self, reset: bool) -> Result<(), DiskError> {
        let start = Start {
            replica: self.id,
            number: self.active.number + 1,
            reset,
            snapshot: self.snapshot,
            term: self.term,
            vote: self.vote,
        };
        let next = ActiveSegment::create_file(&self.path, start, &self.faults)?;
        let old = std::mem::replace(&mut self.active, next);
        self.closed.push(ClosedSegment {
            number: old.number,
            last: old.last,
        });
        Ok(())
    }

    /// Initializes a folder with a new identity and an empty log.
    fn create(
        path: &Path,
        id: ReplicaId,
        segment_numbers: &[u64],
        lock: File,
        faults: DiskFaults,
    ) -> Result<(Self, DurableState), DiskError> {
        require_no_state(path, segment_numbers)?;
        let start = Start {
            replica: id,
            number: 1,
            reset: true,
            snapshot: None,
            term: Term::ZERO,
            vote: None,
        };
        let active = ActiveSegment::create_file(path, start, &faults)?;
        // The identity is written last, so that a folder with an identity always has a log.
        let payload = identity::payload(id);
        file::write_atomically(path, identity::FILE_NAME, &payload, &faults)?;
        let folder = Self {
            path: path.to_path_buf(),
            id,
            term: Term::ZERO,
            vote: None,
            snapshot: None,
            closed: Vec::new(),
            active,
            faults,
            _lock: lock,
        };
        Ok((folder, DurableState::default()))
    }

    /// Reads the snapshot and the segments of a folder that has an identity.
    fn load(
        path: &Path,
        id: ReplicaId,
        mut segment_numbers: Vec<u64>,
        lock: File,
        faults: DiskFaults,
    ) -> Result<(Self, DurableState), DiskError> {
        let snapshot = load_snapshot(path)?;
        remove_unstarted(path, &mut segment_numbers)?;
        let snapshot_index = snapshot.as_ref().map(|snapshot| snapshot.at.index);
        // The entry at the end of the snapshot shows whether the log continues it.
        let mut history = History::new(snapshot_index.unwrap_or_default());
        let (closed, active) = replay(path, id, &segment_numbers, &mut history)?;
        history.check(path, snapshot.as_ref())?;
        let diverges = snapshot.as_ref().is_some_and(|at| history.diverges(at));
        file::remove_if_exists(&path.join(NEW_SNAPSHOT_FILE))?;
        let mut folder = Self {
            path: path.to_path_buf(),
            id,
            term: history.term,
            vote: history.vote,
            snapshot: snapshot_index,
            closed,
            active,
            faults,
            _lock: lock,
        };
        let durable = DurableState {
            term: history.term,
            vote: history.vote,
            snapshot: Arc::new(snapshot.unwrap_or_default()),
            entries: history.entries,
        };
        if diverges {
            // Without a new start, entries to come would follow those that the snapshot has replaced.
            folder.begin_segment(true)?;
        }
        Ok((folder, durable))
    }
}

impl ActiveSegment {
    /// Creates a segment that begins with a start record.
    fn create_file(folder: &Path, start: Start, faults: &DiskFaults) -> Result<Self, DiskError> {
        let path = folder.join(segment::file_name(start.number));
        let mut file = File::create(&path).map_err(|e| DiskError::from_io(&path, e))?;
        let payload = encode(&path, &[Record::Start(start)][..])?;
        let bytes = file::encode(&path, &payload)?;
        file::append_and_sync(&mut file, &path, &bytes, faults)?;
        file::sync_folder(folder)?;
        Ok(Self {
            number: start.number,
            last: Index::ZERO,
            path,
            file,
            end: bytes.len() as u64,
        })
    }

    /// Opens an existing segment for writing. Cuts off what follows its last complete frame, which
    /// ends at the offset `end`.
    fn reopen(path: PathBuf, number: u64, last: Index, end: usize) -> Result<Self, DiskError> {
        let truncate = || {
            let file = OpenOptions::new().append(true).open(&path)?;
            file.set_len(end as u64)?;
            file.sync_all()?;
            Ok(file)
        };
        let file = truncate().map_err(|e| DiskError::from_io(&path, e))?;
        Ok(Self {
            number,
            last,
            path,
            file,
            end: end as u64,
        })
    }
}

/// Returns the record of a vote or of entries, or `None` for a snapshot.
fn record(save: &Save) -> Option<Record> {
    match save {
        Save::Vote { term, vote } => Some(Record::Vote {
            term: *term,
            vote: *vote,
        }),
        Save::Entries(entries) => Some(Record::Entries(entries.clone())),
        Save::Compact(_) | Save::Install(_) => None,
    }
}

/// Locks a folder until the returned file is closed.
fn lock(folder: &Path) -> Result<File, DiskError> {
    let path = folder.join(LOCK_FILE);
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

/// Returns the numbers of the segments in a folder, in ascending order.
fn segment_numbers(folder: &Path) -> Result<Vec<u64>, DiskError> {
    let failed = |e| DiskError::from_io(folder, e);
    let mut segment_numbers = Vec::new();
    for item in fs::read_dir(folder).map_err(failed)? {
        let name = item.map_err(failed)?.file_name();
        segment_numbers.extend(name.to_str().and_then(segment::number));
    }
    segment_numbers.sort_unstable();
    Ok(segment_numbers)
}

/// Returns an error if a folder without an identity contains state. An empty first segment is not
/// state: an interrupted initialization leaves one.
fn require_no_state(folder: &Path, segment_numbers: &[u64]) -> Result<(), DiskError> {
    let missing = || DiskError::Missing {
        path: folder.join(identity::FILE_NAME),
    };
    if file::read_if_exists(&folder.join(snapshot::FILE_NAME))?.is_some() {
        return Err(missing());
    }
    for number in segment_numbers {
        let segment = load_segment(&folder.join(segment::file_name(*number)))?;
        if *number != 1 || !segment.records.is_empty() {
            return Err(missing());
        }
    }
    Ok(())
}

/// Removes the last segment if it has no start record because its creation was interrupted. The
/// first segment always has one.
fn remove_unstarted(folder: &Path, segment_numbers: &mut Vec<u64>) -> Result<(), DiskError> {
    let [_, .., last] = segment_numbers.as_slice() else {
        return Ok(());
    };
    let path = folder.join(segment::file_name(*last));
    if load_segment(&path)?.start.is_none() {
        file::remove_if_exists(&path)?;
        file::sync_folder(folder)?;
        segment_numbers.pop();
    }
    Ok(())
}

/// Reads the snapshot, or returns `None` if there is none.
fn load_snapshot(folder: &Path) -> Result<Option<Snapshot>, DiskError> {
    let path = folder.join(snapshot::FILE_NAME);
    let Some(bytes) = file::read_if_exists(&path)? else {
        return Ok(None);
    };
    let snapshot = snapshot::decode(&bytes).map_err(|e| file::at_path(&path, e))?;
    Ok(Some(snapshot))
}

/// Reads all segments in order into `history` and opens the last one for writing.
fn replay(
    folder: &Path,
    id: ReplicaId,
    segment_numbers: &[u64],
    history: &mut History,
) -> Result<(Vec<ClosedSegment>, ActiveSegment), DiskError> {
    let missing = |number| DiskError::Missing {
        path: folder.join(segment::file_name(number)),
    };
    let (newest, older) = segment_numbers.split_last().ok_or_else(|| missing(1))?;
    let mut closed = Vec::with_capacity(older.len());
    for (number, next) in older.iter().zip(&segment_numbers[1..]) {
        let path = folder.join(segment::file_name(*number));
        let segment = load_segment(&path)?;
        check_segment(&path, &segment, id, *number, false)?;
        if *next != number + 1 {
            return Err(missing(number + 1));
        }
        closed.push(ClosedSegment {
            number: *number,
            last: segment.last,
        });
        history.replay(&path, segment)?;
    }
    let path = folder.join(segment::file_name(*newest));
    let segment = load_segment(&path)?;
    check_segment(&path, &segment, id, *newest, true)?;
    let (end, last) = (segment.end, segment.last);
    history.replay(&path, segment)?;
    Ok((closed, ActiveSegment::reopen(path, *newest, last, end)?))
}

/// Reads a segment.
fn load_segment(path: &Path) -> Result<Segment, DiskError> {
    let file = File::open(path).map_err(|e| match e.kind() {
        io::ErrorKind::NotFound => DiskError::Missing {
            path: path.to_path_buf(),
        },
        _ => DiskError::from_io(path, e),
    })?;
    segment::read(BufReader::new(file)).map_err(|e| file::read_error(path, e))
}

/// Checks that a segment belongs to this replica, has the expected number and, unless it is the
/// last one, has no incomplete frame.
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

/// Encodes a payload. The path is for the error alone.
fn encode(path: &Path, value: &(impl serde::Serialize + ?Sized)) -> Result<Vec<u8>, DiskError> {
    postcard::to_stdvec(value).map_err(|_| DiskError::Oversized {
        path: path.to_path_buf(),
        bytes: usize::MAX,
    })
}
