//! The data folder: restarts, torn and damaged files, and arbitrary bytes in every file.
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

fn entries(term: u64, range: std::ops::Range<u64>) -> Save {
    Save::Entries(range.map(|index| entry(term, index)).collect())
}

fn shot(term: u64, index: u64) -> Arc<Snapshot> {
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

/// Writes batches to a new folder and closes it.
fn written(batches: Vec<Vec<Save>>) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut open, durable) = open(folder.path()).unwrap();
    assert_eq!(durable, DurableState::default());
    for saves in batches {
        open.write(saves).unwrap();
    }
    folder
}

fn reread(folder: &TempDir) -> DurableState {
    open(folder.path()).unwrap().1
}

/// Index and term of what a restarted node has.
fn positions(durable: DurableState) -> Vec<(u64, u64)> {
    let log = Log::new(durable.snapshot, durable.entries);
    let first = log.base().index.next();
    let all = log.slice(first, usize::MAX, usize::MAX).iter();
    all.map(|entry| (entry.at.term.0, entry.at.index.0))
        .collect()
}

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
    let folder = written(vec![
        vec![vote(3, 9), entries(3, 1..4)],
        vec![entries(3, 4..6)],
    ]);
    let durable = reread(&folder);
    assert_eq!((durable.term, durable.vote), (Term(3), Some(ReplicaId(9))));
    assert_eq!(
        positions(durable),
        (1..6).map(|index| (3, index)).collect::<Vec<_>>()
    );
}

#[test]
fn identity_stays() {
    let folder = written(vec![]);
    let (open, _) = Folder::open(folder.path(), ReplicaId(8)).unwrap();
    assert_eq!(open.id(), ID);
}

#[test]
fn later_entries_replace_earlier_ones() {
    let folder = written(vec![vec![entries(1, 1..6)], vec![entries(2, 3..5)]]);
    assert_eq!(positions(reread(&folder)), [(1, 1), (1, 2), (2, 3), (2, 4)]);
}

#[test]
fn snapshot_and_tail() {
    let folder = written(vec![
        vec![entries(1, 1..11)],
        vec![Save::Compact(shot(1, 8))],
        vec![entries(1, 11..13)],
    ]);
    let durable = reread(&folder);
    assert_eq!(durable.snapshot, shot(1, 8));
    assert_eq!(positions(durable), [(1, 9), (1, 10), (1, 11), (1, 12)]);
}

#[test]
fn installed_snapshot_voids_the_log() {
    let folder = written(vec![
        vec![vote(4, 2), entries(1, 1..20)],
        vec![Save::Install(shot(3, 10)), entries(3, 11..12)],
    ]);
    let durable = reread(&folder);
    assert_eq!((durable.term, durable.vote), (Term(4), Some(ReplicaId(2))));
    assert_eq!(positions(durable), [(3, 11)]);
}

/// A snapshot from the leader is in place, but the new segment is not: conflicting entries go.
#[test]
fn interrupted_install_keeps_no_conflicting_entry() {
    let folder = written(vec![vec![entries(1, 1..20)]]);
    let payload = postcard::to_stdvec(&*shot(3, 10)).unwrap();
    fs::write(
        folder.path().join("snapshot"),
        frame::encode(&payload).unwrap(),
    )
    .unwrap();
    assert_eq!(positions(reread(&folder)), []);
}

#[test]
fn second_process_is_refused() {
    let folder = written(vec![]);
    let _first = open(folder.path()).unwrap();
    assert!(matches!(open(folder.path()), Err(DiskError::InUse { .. })));
}

#[test]
fn every_torn_tail_is_cut() {
    let folder = written(vec![vec![entries(1, 1..3)], vec![entries(1, 3..9)]]);
    let path = log_file(&folder);
    let whole = fs::read(&path).unwrap();
    let last = frame::scan(&whole).unwrap().payloads.pop().unwrap();
    for end in last.start - frame::HEADER_BYTES..whole.len() {
        fs::write(&path, &whole[..end]).unwrap();
        assert_eq!(positions(reread(&folder)), [(1, 1), (1, 2)], "cut at {end}");
    }
}

#[test]
fn cut_tail_is_written_over() {
    let folder = written(vec![vec![entries(1, 1..3)], vec![entries(1, 3..9)]]);
    let path = log_file(&folder);
    let whole = fs::read(&path).unwrap();
    fs::write(&path, &whole[..whole.len() - 5]).unwrap();
    let (mut again, _) = open(folder.path()).unwrap();
    again.write(vec![entries(2, 3..4)]).unwrap();
    drop(again);
    assert_eq!(positions(reread(&folder)), [(1, 1), (1, 2), (2, 3)]);
}

#[test]
fn unwritten_sector_is_a_torn_tail() {
    let folder = written(vec![vec![entries(1, 1..3)], vec![entries(1, 3..30)]]);
    let path = log_file(&folder);
    let mut whole = fs::read(&path).unwrap();
    whole[1_024..1_536].fill(0);
    fs::write(&path, &whole).unwrap();
    assert_eq!(positions(reread(&folder)), [(1, 1), (1, 2)]);
}

/// One flipped bit anywhere in the log is refused: never a wrong or missing entry.
#[test]
fn every_flipped_byte_is_refused() {
    let folder = written(vec![vec![entries(1, 1..3)], vec![entries(1, 3..5)]]);
    let path = log_file(&folder);
    let whole = fs::read(&path).unwrap();
    let mut cut = 0;
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        fs::write(&path, &bytes).unwrap();
        match open(folder.path()) {
            Err(DiskError::Corrupt { .. }) => {}
            // A length that points behind the end looks like a write cut short.
            Ok((_, durable)) => {
                assert_eq!(positions(durable), [(1, 1), (1, 2)]);
                cut += 1;
            }
            Err(error) => panic!("byte {at}: {error}"),
        }
        fs::write(&path, &whole).unwrap();
    }
    assert!(cut <= 4, "{cut}");
}

macro_rules! refused {
    ($($name:ident: $damage:expr => $error:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let folder = written(vec![
                    vec![entries(1, 1..11)],
                    vec![Save::Compact(shot(1, 5))],
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

refused! {
    lost_identity: |p| fs::remove_file(p.join("identity")).unwrap() => Missing;
    lost_snapshot: |p| fs::remove_file(p.join("snapshot")).unwrap() => Missing;
    lost_log: |p| remove_logs(p) => Missing;
    damaged_identity: |p| flip(&p.join("identity")) => Corrupt;
    damaged_snapshot: |p| flip(&p.join("snapshot")) => Corrupt;
    foreign_identity: |p| {
        let payload = identity::payload(ReplicaId(1));
        fs::write(p.join("identity"), frame::encode(&payload).unwrap()).unwrap();
    } => Foreign;
}

fn remove_logs(folder: &Path) {
    for item in fs::read_dir(folder).unwrap() {
        let path = item.unwrap().path();
        if path.to_str().unwrap().contains("log-") {
            fs::remove_file(path).unwrap();
        }
    }
}

fn flip(path: &Path) {
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

/// The device that is always full stands for the log's file.
#[test]
fn full_disk_fails_the_write() {
    let folder = written(vec![]);
    let (mut open, _) = open(folder.path()).unwrap();
    std::os::unix::fs::symlink("/dev/full", folder.path().join("snapshot.new")).unwrap();
    let error = open.write(vec![Save::Compact(shot(1, 5))]).err();
    assert!(matches!(error, Some(DiskError::Full { .. })), "{error:?}");
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
            let _ = segment::decode(bytes);
            let _ = Envelope::decode(bytes);
            // Behind a valid checksum as well.
            let framed = frame::encode(bytes).unwrap();
            let _ = identity::decode(&framed);
            let _ = snapshot::decode(&framed);
            let _ = segment::decode(&framed);
        });
}

/// Damage to a valid log yields a prefix of it, or an error.
#[test]
fn any_damage_to_a_log() {
    let folder = written(vec![
        vec![entries(1, 1..4)],
        vec![entries(1, 4..9)],
        vec![entries(2, 9..12)],
    ]);
    let whole = fs::read(log_file(&folder)).unwrap();
    let intact = segment::decode(&whole).unwrap();
    check!()
        .with_type::<(Vec<(u16, u8)>, u16)>()
        .with_iterations(20_000)
        .for_each(|(changes, cut)| {
            let mut bytes = whole.clone();
            for (at, value) in changes {
                let at = usize::from(*at) % bytes.len();
                bytes[at] ^= value;
            }
            bytes.truncate(bytes.len().saturating_sub(usize::from(*cut) % 300));
            if let Ok(read) = segment::decode(&bytes) {
                assert!(intact.records.starts_with(&read.records));
            }
        });
}
