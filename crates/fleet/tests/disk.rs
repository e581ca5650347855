//! The data folder: restarts, interrupted writes, damaged files, and arbitrary bytes in every file.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use bolero::check;
use chestnutnotch::edges::disk::DiskError;
use chestnutnotch::edges::disk::Folder;
use chestnutnotch::edges::disk::frame;
use chestnutnotch::edges::disk::identity;
use chestnutnotch::edges::disk::segment;
use chestnutnotch::edges::disk::snapshot;
use chestnutnotch::edges::rpc::peer::Envelope;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::DurableState;
use chestnutnotch_core::replica::Entry;
use chestnutnotch_core::replica::Log;
use chestnutnotch_core::replica::Members;
use chestnutnotch_core::replica::Payload;
use chestnutnotch_core::replica::Position;
use chestnutnotch_core::replica::Save;
use chestnutnotch_core::replica::Snapshot;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;
use tempfile::TempDir;

/// Identity of the replica that owns the folder.
const ID: ReplicaId = ReplicaId(7);

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        at: Position {
            term: Term(term),
            index: Index(index),
        },
        payload: Payload::Command(vec![index as u8; 100].into()),
    }
}

/// A write of command entries with these indexes.
fn entries(term: u64, range: std::ops::Range<u64>) -> Save {
    Save::Entries(range.map(|index| entry(term, index)).collect())
}

/// A snapshot whose last entry is at this position.
fn snapshot_at(term: u64, index: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        at: entry(term, index).at,
        members: Members::default(),
        data: Arc::from([1, 2, 3]),
    })
}

fn vote(term: u64, vote: u64) -> Save {
    Save::Vote {
        term: Term(term),
        vote: Some(ReplicaId(vote)),
    }
}

fn open(path: &Path) -> Result<(Folder, DurableState), DiskError> {
    Folder::open(path, ID)
}

/// Writes batches to a new folder, closes it and returns it.
fn write_batches(batches: Vec<Vec<Save>>) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut open, durable) = open(folder.path()).unwrap();
    assert_eq!(durable, DurableState::default());
    for saves in batches {
        open.write(saves).unwrap();
    }
    folder
}

/// Opens a folder and returns the state in it.
fn reload(folder: &TempDir) -> DurableState {
    open(folder.path()).unwrap().1
}

/// Returns the term and index of each entry that a restarted node loads after its snapshot.
fn positions(durable: DurableState) -> Vec<(u64, u64)> {
    let log = Log::new(durable.snapshot, durable.entries);
    let first = log.base().index.next();
    let all = log.slice(first, usize::MAX, usize::MAX).iter();
    all.map(|entry| (entry.at.term.0, entry.at.index.0))
        .collect()
}

/// Returns the path of the newest log segment.
fn log_file(folder: &TempDir) -> PathBuf {
    let mut names: Vec<_> = fs::read_dir(folder.path())
        .unwrap()
        .map(|item| item.unwrap().path())
        .filter(|path| path.to_str().unwrap().contains("log-"))
        .collect();
    names.sort();
    names.pop().unwrap()
}

#[test]
fn restart_reads_what_was_written() {
    let folder = write_batches(vec![
        vec![vote(3, 9), entries(3, 1..4)],
        vec![entries(3, 4..6)],
    ]);
    let durable = reload(&folder);
    assert_eq!((durable.term, durable.vote), (Term(3), Some(ReplicaId(9))));
    assert_eq!(
        positions(durable),
        (1..6).map(|index| (3, index)).collect::<Vec<_>>()
    );
}

#[test]
fn identity_stays() {
    let folder = write_batches(vec![]);
    let (open, _) = Folder::open(folder.path(), ReplicaId(8)).unwrap();
    assert_eq!(open.id(), ID);
}

#[test]
fn later_entries_replace_earlier_ones() {
    let folder = write_batches(vec![vec![entries(1, 1..6)], vec![entries(2, 3..5)]]);
    assert_eq!(positions(reload(&folder)), [(1, 1), (1, 2), (2, 3), (2, 4)]);
}

#[test]
fn snapshot_and_tail() {
    let folder = write_batches(vec![
        vec![entries(1, 1..11)],
        vec![Save::Compact(snapshot_at(1, 8))],
        vec![entries(1, 11..13)],
    ]);
    let durable = reload(&folder);
    assert_eq!(durable.snapshot, snapshot_at(1, 8));
    assert_eq!(positions(durable), [(1, 9), (1, 10), (1, 11), (1, 12)]);
}

#[test]
fn installed_snapshot_voids_the_log() {
    let folder = write_batches(vec![
        vec![vote(4, 2), entries(1, 1..20)],
        vec![Save::Install(snapshot_at(3, 10)), entries(3, 11..12)],
    ]);
    let durable = reload(&folder);
    assert_eq!((durable.term, durable.vote), (Term(4), Some(ReplicaId(2))));
    assert_eq!(positions(durable), [(3, 11)]);
}

/// The process stopped after it wrote a snapshot from the leader and before it started a new
/// segment. Log entries that conflict with the snapshot are dropped.
#[test]
fn interrupted_install_keeps_no_conflicting_entry() {
    let folder = write_batches(vec![vec![entries(1, 1..20)]]);
    let payload = postcard::to_stdvec(&*snapshot_at(3, 10)).unwrap();
    fs::write(
        folder.path().join("snapshot"),
        frame::encode(&payload).unwrap(),
    )
    .unwrap();
    assert_eq!(positions(reload(&folder)), []);
    let (mut writer, _) = open(folder.path()).unwrap();
    writer.write(vec![entries(3, 11..13)]).unwrap();
    drop(writer);
    assert_eq!(positions(reload(&folder)), [(3, 11), (3, 12)]);
}

#[test]
fn second_process_is_refused() {
    let folder = write_batches(vec![]);
    let _first = open(folder.path()).unwrap();
    assert!(matches!(open(folder.path()), Err(DiskError::InUse { .. })));
}

#[test]
fn every_torn_tail_is_cut() {
    let folder = write_batches(vec![vec![entries(1, 1..3)], vec![entries(1, 3..9)]]);
    let path = log_file(&folder);
    let original = fs::read(&path).unwrap();
    let last = frame::scan(&original).unwrap().payloads.pop().unwrap();
    for end in last.start - frame::HEADER_BYTES..original.len() {
        fs::write(&path, &original[..end]).unwrap();
        assert_eq!(positions(reload(&folder)), [(1, 1), (1, 2)], "cut at {end}");
    }
}

#[test]
fn cut_tail_is_written_over() {
    let folder = write_batches(vec![vec![entries(1, 1..3)], vec![entries(1, 3..9)]]);
    let path = log_file(&folder);
    let original = fs::read(&path).unwrap();
    fs::write(&path, &original[..original.len() - 5]).unwrap();
    let (mut reopened, _) = open(folder.path()).unwrap();
    reopened.write(vec![entries(2, 3..4)]).unwrap();
    drop(reopened);
    assert_eq!(positions(reload(&folder)), [(1, 1), (1, 2), (2, 3)]);
}

#[test]
fn unwritten_sector_is_a_torn_tail() {
    let folder = write_batches(vec![vec![entries(1, 1..3)], vec![entries(1, 3..30)]]);
    let path = log_file(&folder);
    let mut bytes = fs::read(&path).unwrap();
    bytes[1_024..1_536].fill(0);
    fs::write(&path, &bytes).unwrap();
    assert_eq!(positions(reload(&folder)), [(1, 1), (1, 2)]);
}

/// One flipped bit anywhere in the log is detected: it never leads to a wrong entry, or to a
/// missing one except where it looks like an interrupted write of the last frame.
#[test]
fn every_flipped_byte_is_refused() {
    let folder = write_batches(vec![vec![entries(1, 1..3)], vec![entries(1, 3..5)]]);
    let path = log_file(&folder);
    let original = fs::read(&path).unwrap();
    let mut torn_count = 0;
    for at in 0..original.len() {
        let mut bytes = original.clone();
        bytes[at] ^= 0x10;
        fs::write(&path, &bytes).unwrap();
        match open(folder.path()) {
            Err(DiskError::Corrupt { .. }) => {}
            // A length that exceeds the file looks like an interrupted write.
            Ok((_, durable)) => {
                assert_eq!(positions(durable), [(1, 1), (1, 2)]);
                torn_count += 1;
            }
            Err(error) => panic!("byte {at}: {error}"),
        }
        fs::write(&path, &original).unwrap();
    }
    assert!(torn_count <= 4, "{torn_count}");
}

/// Tests that a folder with the given damage does not open, with the given error.
macro_rules! open_fails {
    ($($name:ident: $damage:expr => $error:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let folder = write_batches(vec![
                    vec![entries(1, 1..11)],
                    vec![Save::Compact(snapshot_at(1, 5))],
                    vec![entries(1, 11..12)],
                ]);
                let damage: fn(&Path) = $damage;
                damage(folder.path());
                let error = open(folder.path()).err();
                assert!(matches!(error, Some(DiskError::$error { .. })), "{error:?}");
            }
        )*
    };
}

open_fails! {
    lost_identity: |p| fs::remove_file(p.join("identity")).unwrap() => Missing;
    lost_snapshot: |p| fs::remove_file(p.join("snapshot")).unwrap() => Missing;
    lost_log: |p| remove_logs(p) => Missing;
    damaged_identity: |p| flip_last_byte(&p.join("identity")) => Corrupt;
    damaged_snapshot: |p| flip_last_byte(&p.join("snapshot")) => Corrupt;
    foreign_identity: |p| {
        let payload = identity::payload(ReplicaId(1));
        fs::write(p.join("identity"), frame::encode(&payload).unwrap()).unwrap();
    } => Foreign;
}

/// Removes all log segments.
fn remove_logs(folder: &Path) {
    for item in fs::read_dir(folder).unwrap() {
        let path = item.unwrap().path();
        if path.to_str().unwrap().contains("log-") {
            fs::remove_file(path).unwrap();
        }
    }
}

/// Flips a bit in the last byte of a file.
fn flip_last_byte(path: &Path) {
    let mut bytes = fs::read(path).unwrap();
    let at = bytes.len() - 1;
    bytes[at] ^= 1;
    fs::write(path, bytes).unwrap();
}

#[test]
fn full_disk_is_typed() {
    let full = |kind| DiskError::from_io(Path::new("f"), io::Error::from(kind));
    assert!(matches!(
        full(io::ErrorKind::StorageFull),
        DiskError::Full { .. }
    ));
    assert!(matches!(
        full(io::ErrorKind::QuotaExceeded),
        DiskError::Full { .. }
    ));
}

/// The temporary file of the snapshot is a link to a device that is always full.
#[test]
fn full_disk_fails_the_write() {
    let folder = write_batches(vec![]);
    let (mut open, _) = open(folder.path()).unwrap();
    std::os::unix::fs::symlink("/dev/full", folder.path().join("snapshot.new")).unwrap();
    let error = open.write(vec![Save::Compact(snapshot_at(1, 5))]).err();
    assert!(matches!(error, Some(DiskError::Full { .. })), "{error:?}");
}

/// Entries of 100 KB, one write each.
fn large_entries(range: std::ops::Range<u64>) -> Vec<Vec<Save>> {
    let entry = |index| Entry {
        payload: Payload::Command(vec![index as u8; 100 << 10].into()),
        ..entry(1, index)
    };
    range
        .map(|index| vec![Save::Entries(vec![entry(index)])])
        .collect()
}

/// Returns the log segments with their contents.
fn segments(folder: &TempDir) -> Vec<(PathBuf, Vec<u8>)> {
    let files = fs::read_dir(folder.path()).unwrap();
    let paths = files.map(|item| item.unwrap().path());
    let logs = paths.filter(|path| path.to_str().unwrap().contains("log-"));
    logs.map(|path| (path.clone(), fs::read(path).unwrap()))
        .collect()
}

#[test]
fn segments_are_removed_once_a_snapshot_contains_them() {
    let folder = write_batches(large_entries(1..50));
    assert!(segments(&folder).len() > 3);
    let (mut writer, _) = open(folder.path()).unwrap();
    writer
        .write(vec![Save::Compact(snapshot_at(1, 45))])
        .unwrap();
    // One segment goes with each write.
    for term in 2..10 {
        writer.write(vec![vote(term, 9)]).unwrap();
    }
    drop(writer);
    let kept: usize = segments(&folder).iter().map(|(_, bytes)| bytes.len()).sum();
    assert!(kept < 2 << 20, "{kept} bytes");
    let durable = reload(&folder);
    let expected: Vec<_> = (46..50).map(|index| (1, index)).collect();
    assert_eq!(positions(durable), expected);
}

#[test]
fn segments_that_a_crash_left_behind_are_removed_later() {
    let folder = write_batches(large_entries(1..50));
    let (mut writer, _) = open(folder.path()).unwrap();
    writer
        .write(vec![Save::Compact(snapshot_at(1, 49))])
        .unwrap();
    drop(writer);
    for term in 2..10 {
        assert_eq!(positions(reload(&folder)), []);
        open(folder.path())
            .unwrap()
            .0
            .write(vec![vote(term, 9)])
            .unwrap();
    }
    assert_eq!(segments(&folder).len(), 1);
    assert_eq!(reload(&folder).term, Term(9));
}

#[test]
fn missing_segment_with_needed_entries_is_an_error() {
    let folder = write_batches(large_entries(1..50));
    let mut paths: Vec<_> = segments(&folder)
        .into_iter()
        .map(|(path, _)| path)
        .collect();
    paths.sort();
    fs::remove_file(&paths[1]).unwrap();
    let error = open(folder.path()).err();
    assert!(
        matches!(error, Some(DiskError::Missing { .. })),
        "{error:?}"
    );
}

#[test]
fn any_bytes_in_any_file() {
    check!()
        .with_type::<Vec<u8>>()
        .with_iterations(20_000)
        .for_each(|bytes| {
            let _ = frame::scan(bytes);
            let _ = identity::decode(bytes);
            let _ = snapshot::decode(bytes);
            let _ = segment::read(bytes.as_slice());
            let _ = Envelope::decode(bytes);
            // The same bytes in a frame with a valid checksum.
            let framed = frame::encode(bytes).unwrap();
            let _ = identity::decode(&framed);
            let _ = snapshot::decode(&framed);
            let _ = segment::read(framed.as_slice());
        });
}

/// A damaged log is read as a prefix of the original records, or refused.
#[test]
fn any_damage_to_a_log() {
    let folder = write_batches(vec![
        vec![entries(1, 1..4)],
        vec![entries(1, 4..9)],
        vec![entries(2, 9..12)],
    ]);
    let original = fs::read(log_file(&folder)).unwrap();
    let intact = segment::read(original.as_slice()).unwrap();
    check!()
        .with_type::<(Vec<(u16, u8)>, u16)>()
        .with_iterations(20_000)
        .for_each(|(changes, cut)| {
            let mut bytes = original.clone();
            for (at, value) in changes {
                let at = usize::from(*at) % bytes.len();
                bytes[at] ^= value;
            }
            bytes.truncate(bytes.len().saturating_sub(usize::from(*cut) % 300));
            if let Ok(read) = segment::read(bytes.as_slice()) {
                assert!(intact.records.starts_with(&read.records));
            }
        });
}
