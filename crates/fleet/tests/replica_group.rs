//! Groups of replicas in one process, connected over loopback: replication, failover, restarts,
//! lost disks and planned stops.
#![allow(clippy::unwrap_used)]

mod replica_support;

use chestnutnotch::controllers::replica::ReplicaError;
use chestnutnotch::edges::disk::Folder;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Revision;
use replica_support::Group;
use replica_support::publish;

macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                $body.await;
            }
        )*
    };
}

cases! {
    one_alone_founds_at_once: agree(1);
    three_found_and_agree: agree(3);
    leader_cut_off_steps_down: leader_cut_off();
    restart_loads_snapshot_and_tail: restart_after_many();
    emptied_disk_rejoins: emptied_disk();
    two_emptied_disks_wait_for_the_third: two_emptied_disks();
    planned_stop_hands_over: planned_stop();
    relays_may_stand_between: relayed();
    full_disk_stops_no_replica: full_disk();
}

/// Time after which a command counts as not committed.
const PENDING_TIME: std::time::Duration = std::time::Duration::from_secs(2);

/// A new group of `count` replicas commits commands, which every replica applies.
async fn agree(count: usize) {
    let group = Group::start(count, 1_000).await;
    let all = group.running();
    for number in 0..20 {
        group.submit(&all, &publish(number)).await;
    }
    let leader = group.leader(&all).await;
    let target = group.applied(leader).await;
    for at in &all {
        group
            .wait_until("applied", async |g| g.applied(*at).await >= target)
            .await;
    }
    let status = group.handle(leader).status().await.unwrap();
    assert_eq!(status.voters.len(), count);
}

/// A leader without a connection to the others neither commits commands nor answers reads, and
/// rejoins under the new leader. A deposed leader that still answered would return stale data.
async fn leader_cut_off() {
    let group = Group::start(3, 1_000).await;
    let all = group.running();
    let accepted = group.submit(&all, &publish(0)).await;
    let old = group.leader(&all).await;
    let term = group.handle(old).status().await.unwrap().term;
    group.isolate(old, true);
    // The old leader may accept the command but must not report it as committed.
    let lost = group
        .handle(old)
        .submit(Operator::from("test"), publish(1))
        .await;
    assert!(matches!(
        lost,
        Err(ReplicaError::NoQuorum | ReplicaError::NotLeader { .. })
    ));
    let read = group.handle(old).read(|_| ()).await;
    assert!(read.is_err());
    let rest: Vec<_> = all.iter().copied().filter(|at| *at != old).collect();
    let new = group.leader(&rest).await;
    assert!(group.handle(new).status().await.unwrap().term > term);
    // A command that is sent again takes effect once and gets the same answer again, also after the
    // old leader is connected again.
    let resent = group.submit(&rest, &publish(1)).await;
    assert_eq!(resent, Reply::Accepted(Revision(2)));
    group.isolate(old, false);
    assert_eq!(group.submit(&all, &publish(1)).await, resent);
    assert_eq!(group.submit(&all, &publish(0)).await, accepted);
    let target = Revision(2);
    group
        .wait_until("healed", async |g| {
            g.handle(old).accepted().borrow().revision == target
        })
        .await;
}

/// A replica restarts from its snapshot and the log entries after it.
async fn restart_after_many() {
    let mut group = Group::start(3, 200).await;
    let all = group.running();
    for number in 0..1_000 {
        group.submit(&all, &publish(number)).await;
    }
    let target = group.applied(group.leader(&all).await).await;
    group
        .wait_until("caught up", async |g| g.applied(2).await >= target)
        .await;
    group.stop(2).await;
    let (folder, durable) = Folder::open(&group.data(2), ReplicaId(1)).unwrap();
    assert!(durable.snapshot.at.index >= Index(700));
    let tail = durable
        .entries
        .iter()
        .filter(|e| e.at.index > durable.snapshot.at.index);
    assert!(tail.count() < 400);
    let id = folder.id();
    drop(folder);
    group.restart(2).await;
    group
        .wait_until("restarted", async |g| g.applied(2).await >= target)
        .await;
    assert_eq!(group.handle(2).status().await.unwrap().id, id);
    assert_eq!(
        group.handle(2).accepted().borrow().revision,
        Revision(1_000)
    );
}

/// A replica that lost its disk joins under a new identity and becomes a voter, so that the group
/// then survives the loss of another host.
async fn emptied_disk() {
    let mut group = Group::start(3, 50).await;
    let all = group.running();
    for number in 0..120 {
        group.submit(&all, &publish(number)).await;
    }
    let leader = group.leader(&all).await;
    let lost = (leader + 1) % 3;
    let old = group.handle(lost).status().await.unwrap().id;
    group.stop(lost).await;
    std::fs::remove_dir_all(group.data(lost)).unwrap();
    group.restart(lost).await;
    let new = group.handle(lost).status().await.unwrap().id;
    assert_ne!(old, new);
    group
        .wait_until("repaired", async |g| is_repaired(g, lost, new).await)
        .await;
    // Right after the repair a second host is lost: the leader that carried it out.
    group.stop(leader).await;
    let rest = group.running();
    assert_eq!(
        group.submit(&rest, &publish(120)).await,
        Reply::Accepted(Revision(121))
    );
    let number = group.leader(&rest).await;
    let revision = group
        .handle(number)
        .read(|m| m.accepted().revision)
        .await
        .unwrap();
    assert_eq!(revision, Revision(121));
}

/// Whether a leader has three voters and no learners, the new replica is one of the voters, and it
/// has applied as much as the leader.
async fn is_repaired(group: &Group, at: usize, new: ReplicaId) -> bool {
    for leader in group.running() {
        let status = group.handle(leader).status().await.unwrap();
        let complete = status.voters.len() == 3 && status.learners.is_empty();
        if status.leads && complete && status.voters.contains(&new) {
            return group.applied(at).await >= status.applied.0;
        }
    }
    false
}

/// Two replicas that lost their disks don't create a second group, which would lose the commands of
/// the first one.
async fn two_emptied_disks() {
    let mut group = Group::start(3, 1_000).await;
    let all = group.running();
    group.submit(&all, &publish(0)).await;
    group
        .wait_until("caught up", async |g| {
            g.handle(0).accepted().borrow().revision == Revision(1)
        })
        .await;
    for at in [0, 1, 2] {
        group.stop(at).await;
    }
    for at in [1, 2] {
        std::fs::remove_dir_all(group.data(at)).unwrap();
        group.restart(at).await;
    }
    // Without an answer of the third replica the two create no group. Once it answers, they learn
    // of the old group, which has lost its quorum.
    group.restart(0).await;
    for _ in 0..50 {
        for at in [1, 2] {
            let status = group.handle(at).status().await.unwrap();
            assert!(status.voters.is_empty() && !status.leads);
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let refused = group
        .handle(0)
        .submit(Operator::from("test"), publish(1))
        .await;
    assert!(matches!(refused, Err(ReplicaError::NotLeader { .. })));
}

/// A leader that is stopped transfers its leadership, without an election timeout.
async fn planned_stop() {
    let mut group = Group::start(3, 1_000).await;
    let all = group.running();
    group.submit(&all, &publish(0)).await;
    let leader = group.leader(&all).await;
    let term = group.handle(leader).status().await.unwrap().term;
    group.handle(leader).stop().await;
    let rest: Vec<_> = all.iter().copied().filter(|at| *at != leader).collect();
    assert_eq!(
        group.submit(&rest, &publish(1)).await,
        Reply::Accepted(Revision(2))
    );
    let next = group.leader(&rest).await;
    // The successor won the first election after the transfer: the term rose by one.
    assert_eq!(group.handle(next).status().await.unwrap().term, term.next());
    group.stop(leader).await;
}

/// Each replica reaches the others through relays, at addresses that differ from the ones they
/// listen on.
async fn relayed() {
    let group = Group::start_with_relays(3, 1_000, true).await;
    let all = group.running();
    assert_eq!(
        group.submit(&all, &publish(0)).await,
        Reply::Accepted(Revision(1))
    );
    let target = Revision(1);
    for at in all {
        group
            .wait_until("caught up", async |g| {
                g.handle(at).accepted().borrow().revision == target
            })
            .await;
    }
    assert!(group.relayed_bytes() > 0);
}

/// A replica whose disk is full stays up. The others continue to commit commands, and without one of
/// them nothing is committed, as the replica acknowledges nothing before there is room.
async fn full_disk() {
    let mut group = Group::start(3, 20).await;
    let all = group.running();
    let leader = group.leader(&all).await;
    let full = (leader + 1) % 3;
    let obstacle = group.data(full).join("snapshot.new");
    std::os::unix::fs::symlink("/dev/full", &obstacle).unwrap();
    let rest: Vec<_> = all.iter().copied().filter(|at| *at != full).collect();
    for number in 0..40 {
        group.submit(&rest, &publish(number)).await;
    }
    assert!(group.handle(full).status().await.is_ok());
    let leader = group.leader(&rest).await;
    group.stop(3 - leader - full).await;
    let pair = group.running();
    // The batch with the snapshot may not have been written yet.
    let mut number = 40;
    let pending = async |number| {
        let command = publish(number);
        let submitted = group.submit(&pair, &command);
        tokio::time::timeout(PENDING_TIME, submitted).await.is_err()
    };
    while !pending(number).await {
        number += 1;
        assert!(number < 200, "the disk was never full");
    }
    assert!(group.handle(full).status().await.is_ok());
    std::fs::remove_file(&obstacle).unwrap();
    assert_eq!(
        group.submit(&pair, &publish(number)).await,
        Reply::Accepted(Revision(number + 1))
    );
}
