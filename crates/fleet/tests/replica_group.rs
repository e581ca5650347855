//! Replicas in one process on loopback.
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
}

async fn agree(count: usize) {
    let group = Group::start(count, 1_000).await;
    let all = group.running();
    for number in 0..20 {
        group.submit(&all, &publish(number)).await;
    }
    let leader = group.leader(&all).await;
    let goal = group.applied(leader).await;
    for at in &all {
        group
            .until("applied", async |g| g.applied(*at).await >= goal)
            .await;
    }
    let status = group.handle(leader).status().await.unwrap();
    assert_eq!(status.voters.len(), count);
}

async fn leader_cut_off() {
    let group = Group::start(3, 1_000).await;
    let all = group.running();
    let accepted = group.submit(&all, &publish(0)).await;
    let old = group.leader(&all).await;
    let term = group.handle(old).status().await.unwrap().term;
    group.isolate(old, true);
    // The old leader may take the command in, but nobody is told that it was agreed on.
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
    // A resend to the new leader has one effect, and gets the first answer again after the heal.
    let resent = group.submit(&rest, &publish(1)).await;
    assert_eq!(resent, Reply::Accepted(Revision(2)));
    group.isolate(old, false);
    assert_eq!(group.submit(&all, &publish(1)).await, resent);
    assert_eq!(group.submit(&all, &publish(0)).await, accepted);
    let goal = Revision(2);
    group
        .until("healed", async |g| {
            g.handle(old).accepted().borrow().revision == goal
        })
        .await;
}

async fn restart_after_many() {
    let mut group = Group::start(3, 200).await;
    let all = group.running();
    for number in 0..1_000 {
        group.submit(&all, &publish(number)).await;
    }
    let goal = group.applied(group.leader(&all).await).await;
    group
        .until("level", async |g| g.applied(2).await >= goal)
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
        .until("restarted", async |g| g.applied(2).await >= goal)
        .await;
    assert_eq!(group.handle(2).status().await.unwrap().id, id);
    assert_eq!(
        group.handle(2).accepted().borrow().revision,
        Revision(1_000)
    );
}

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
        .until("repair", async |g| is_repaired(g, lost, new).await)
        .await;
    // A second host is lost right after the repair, the one that led it.
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

/// Whether some leader's members are three voters, the new replica among them, and it has applied
/// as much as the leader.
async fn is_repaired(group: &Group, at: usize, new: ReplicaId) -> bool {
    for leader in group.running() {
        let status = group.handle(leader).status().await.unwrap();
        let whole = status.voters.len() == 3 && status.learners.is_empty();
        if status.leads && whole && status.voters.contains(&new) {
            return group.applied(at).await >= status.applied.0;
        }
    }
    false
}

async fn two_emptied_disks() {
    let mut group = Group::start(3, 1_000).await;
    let all = group.running();
    group.submit(&all, &publish(0)).await;
    group
        .until("level", async |g| {
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
    // Without the third peer's answer the two found nothing; with it they learn of the old group,
    // which has lost its quorum.
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
    // The successor stood at once: one term later.
    assert_eq!(group.handle(next).status().await.unwrap().term, term.next());
    group.stop(leader).await;
}

/// Each replica knows the others by addresses of its own settings.
async fn relayed() {
    let group = Group::start_through(3, 1_000, true).await;
    let all = group.running();
    assert_eq!(
        group.submit(&all, &publish(0)).await,
        Reply::Accepted(Revision(1))
    );
    let goal = Revision(1);
    for at in all {
        group
            .until("level", async |g| {
                g.handle(at).accepted().borrow().revision == goal
            })
            .await;
    }
    assert!(group.carried() > 0);
}
