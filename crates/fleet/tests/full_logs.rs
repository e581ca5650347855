//! Documents that together are larger than the disks of the replicas: the group goes on, and comes back
//! after its replicas have stopped.
#![allow(clippy::panic, clippy::unwrap_used)]

mod replica_support;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::route::Adopt;

use replica_support::Group;

/// Size of each document, in bytes.
const DOCUMENT_BYTES: usize = 300 << 10;

/// Size of each disk, in bytes.
const DISK_BYTES: u64 = 64 << 20;

/// Entries between two snapshots. No test has as many.
const SNAPSHOT_ENTRIES: u64 = 10_000;

fn adopt(version: u64) -> Command {
    Command::Adopt(Adopt {
        version,
        source: vec![version as u8; DOCUMENT_BYTES].into(),
        prepaid: Vec::new(),
    })
}

async fn start(count: usize) -> Group {
    let group = Group::start(count, SNAPSHOT_ENTRIES).await;
    for disk in &group.disks {
        disk.set_capacity(DISK_BYTES);
    }
    group
}

/// Submits documents until a change of each has been acknowledged.
async fn adopt_all(group: &Group, versions: std::ops::Range<u64>) {
    let all = group.running();
    for version in versions {
        group.submit(&all, &adopt(version)).await;
    }
}

/// Checks that the group reads back the newest document.
async fn check_newest(group: &Group, version: u64) {
    let leader = group.leader(&group.running()).await;
    let plan = group
        .handle(leader)
        .read(|machine| machine.plan().clone())
        .await
        .unwrap();
    assert_eq!(plan.version, version);
    assert_eq!(plan.source.len(), DOCUMENT_BYTES);
}

/// Documents of twice the size of a disk.
const VERSIONS: u64 = 2 * DISK_BYTES / DOCUMENT_BYTES as u64;

macro_rules! documents_outgrow_the_disks {
    ($($name:ident: $count:literal)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() {
            let group = start($count).await;
            adopt_all(&group, 1..VERSIONS).await;
            check_newest(&group, VERSIONS - 1).await;
        }
    )*};
}

documents_outgrow_the_disks! {
    three_replicas_take_documents_of_twice_the_size_of_a_disk: 3
    four_replicas_take_documents_of_twice_the_size_of_a_disk: 4
    five_replicas_take_documents_of_twice_the_size_of_a_disk: 5
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replicas_come_back_in_turn_and_all_at_once_after_many_documents() {
    let mut group = start(4).await;
    let mut next = 1;
    for at in 0..4 {
        adopt_all(&group, next..next + VERSIONS / 4).await;
        next += VERSIONS / 4;
        group.stop(at).await;
        adopt_all(&group, next..next + 40).await;
        next += 40;
        group.restart(at).await;
    }
    for at in 0..4 {
        group.stop(at).await;
    }
    for at in 0..4 {
        group.restart(at).await;
    }
    check_newest(&group, next - 1).await;
    adopt_all(&group, next..next + 5).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn logs_stay_within_their_bounds_in_memory_and_on_disk() {
    let group = start(3).await;
    adopt_all(&group, 1..VERSIONS).await;
    for at in 0..3 {
        let log = group.handle(at).status().await.unwrap().log;
        assert!(log.bytes as u64 <= 4 * group.snapshot_bytes, "{log:?}");
        let files = std::fs::read_dir(group.data(at)).unwrap();
        let used: u64 = files
            .map(|file| file.unwrap().metadata().unwrap().len())
            .sum();
        assert!(used <= DISK_BYTES / 2, "{used} bytes on disk");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resent_documents_do_not_fill_the_log() {
    let group = start(3).await;
    adopt_all(&group, 1..3).await;
    let all = group.running();
    for _ in 0..100 {
        group.submit(&all, &adopt(2)).await;
    }
    check_newest(&group, 2).await;
    for at in 0..3 {
        let log = group.handle(at).status().await.unwrap().log;
        assert!(log.bytes < 4 * DOCUMENT_BYTES, "{log:?}");
    }
}

/// Fills all disks from outside, restarts replicas or not, and makes room again.
async fn check_all_disks_full(count: usize, is_restarted: bool) {
    let mut group = start(count).await;
    adopt_all(&group, 1..20).await;
    for disk in &group.disks {
        disk.set_room(Some(0));
    }
    let timeout = std::time::Duration::from_millis(500);
    let work = adopt_all(&group, 20..21);
    let refused = tokio::time::timeout(timeout, work).await;
    assert!(refused.is_err(), "a change was accepted without room");
    for at in 0..if is_restarted { count } else { 0 } {
        group.stop(at).await;
        group.restart(at).await;
    }
    for disk in &group.disks {
        disk.set_room(None);
    }
    adopt_all(&group, 21..60).await;
    check_newest(&group, 59).await;
}

macro_rules! all_disks_full {
    ($($name:ident: $count:literal, $restarted:literal)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() {
            check_all_disks_full($count, $restarted).await;
        }
    )*};
}

all_disks_full! {
    three_full_disks_with_room_again: 3, false
    four_full_disks_with_room_again: 4, false
    five_full_disks_with_room_again: 5, false
    three_full_disks_and_restarts_in_turn: 3, true
    four_full_disks_and_restarts_in_turn: 4, true
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn emptied_disk_is_filled_from_a_compacted_log() {
    let mut group = start(4).await;
    adopt_all(&group, 1..100).await;
    group.stop(2).await;
    std::fs::remove_dir_all(group.data(2)).unwrap();
    adopt_all(&group, 100..140).await;
    group.restart(2).await;
    adopt_all(&group, 140..160).await;
    group
        .wait_until("the emptied replica has caught up", async |group| {
            let version = group.handle(2).peek(|machine| machine.plan().version);
            version.await.unwrap() == 159
        })
        .await;
}
