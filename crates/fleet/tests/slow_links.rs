//! Groups of replicas whose links carry 10 Mbit/s: followers that lag by megabytes catch up, and changes
//! and reads go on meanwhile.
#![allow(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

mod replica_support;

use std::time::Duration;

use chestnutnotch::edges::rpc::peer::Envelope;
use chestnutnotch::edges::rpc::peer::LinkFaults;
use chestnutnotch::edges::rpc::peer::Links;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Append;
use chestnutnotch_core::replica::Entry;
use chestnutnotch_core::replica::Message;
use chestnutnotch_core::replica::Payload;
use chestnutnotch_core::replica::Position;
use chestnutnotch_core::route::Adopt;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;
use replica_support::Group;

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
    lagging_follower_catches_up_by_entries: one_lags(1_000);
    lagging_follower_catches_up_by_snapshot: one_lags(8);
    lagging_quorum_answers_again: quorum_lags();
    large_change_leaves_the_leader_in_place: large_change();
}

/// Bytes per second that each replica can send.
const RATE: u64 = 1_250_000;

/// Size of a set of some 1,400 routes.
const DOCUMENT_BYTES: usize = 300 << 10;

/// Number of changes that a follower misses.
const MISSED: u64 = 20;

/// Time in which a change has to be acknowledged.
const ACK_TIME: Duration = Duration::from_secs(4);

/// Time in which a group has to recover once the faults are gone.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Returns a change to a version of the routes.
fn adopt(version: u64, size: usize) -> Command {
    Command::Adopt(Adopt {
        version,
        source: vec![version as u8; size].into(),
        prepaid: Vec::new(),
    })
}

/// Publishes a version of the routes. Fails if it is not acknowledged in time.
async fn change(group: &Group, among: &[usize], version: u64) {
    let command = adopt(version, DOCUMENT_BYTES);
    let submitted = tokio::time::timeout(ACK_TIME, group.submit(among, &command)).await;
    let reply = submitted.unwrap_or_else(|_| panic!("version {version} was not acknowledged"));
    assert_eq!(reply, Reply::Adopted(version));
}

/// Reads the version of the routes. Fails if no quorum answers in time.
async fn read(group: &Group, among: &[usize]) -> u64 {
    let read = async {
        let leader = group.leader(among).await;
        group.handle(leader).read(|m| m.plan().version).await
    };
    let version = tokio::time::timeout(ACK_TIME, read).await;
    version.expect("no quorum answered").unwrap()
}

/// Waits until a replica has a version of the routes. Fails if that takes longer than a recovery may.
async fn wait_for_version(group: &Group, at: usize, version: u64) {
    let mut plan = group.handle(at).plan();
    let held = plan.wait_for(|plan| plan.version >= version);
    let held = tokio::time::timeout(RECOVERY_TIME, held).await;
    assert!(held.is_ok(), "replica {at} does not have version {version}");
}

/// Starts three replicas, one of which misses changes. Returns it and the leader.
async fn group_with_lag(snapshot: u64) -> (Group, usize, usize) {
    let group = Group::start_with_relays(3, snapshot, true).await;
    let all = group.running();
    let leader = group.leader(&all).await;
    let lagging = (leader + 1) % 3;
    group.isolate(lagging, true);
    for version in 1..=MISSED {
        change(&group, &all, version).await;
    }
    (group, lagging, leader)
}

/// One of three replicas lags. It catches up, while changes and reads go on.
async fn one_lags(snapshot: u64) {
    let (group, lagging, _) = group_with_lag(snapshot).await;
    let all = group.running();
    group.set_rate(RATE);
    group.isolate(lagging, false);
    let changes = async {
        for version in MISSED + 1..=MISSED + 3 {
            change(&group, &all, version).await;
            assert_eq!(read(&group, &all).await, version);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    tokio::join!(changes, wait_for_version(&group, lagging, MISSED));
}

/// The only replica that holds all is cut off from the leader when the lagging one comes back, so that
/// nothing can be committed before that one has caught up.
async fn quorum_lags() {
    let (group, lagging, leader) = group_with_lag(1_000).await;
    let term = group.handle(leader).status().await.unwrap().term;
    group.set_rate(RATE);
    group.isolate(lagging, false);
    group.isolate(3 - lagging - leader, true);
    let pair = [lagging, leader];
    wait_for_version(&group, lagging, MISSED).await;
    change(&group, &pair, MISSED + 1).await;
    assert_eq!(read(&group, &pair).await, MISSED + 1);
    assert_eq!(group.handle(leader).status().await.unwrap().term, term);
}

/// A change that takes a link several election timeouts is committed, and no other replica is elected
/// meanwhile.
async fn large_change() {
    let group = Group::start_with_relays(3, 1_000, true).await;
    let all = group.running();
    let leader = group.leader(&all).await;
    let term = group.handle(leader).status().await.unwrap().term;
    group.set_rate(RATE);
    let command = adopt(1, 4 << 20);
    let submitted = group.handle(leader).submit(Operator::from("test"), command);
    let reply = tokio::time::timeout(RECOVERY_TIME, submitted).await;
    assert_eq!(reply.unwrap().unwrap(), Reply::Adopted(1));
    assert_eq!(group.handle(leader).status().await.unwrap().term, term);
}

/// The frames that wait for a connection take up a few megabytes at most. There is only one thread, so
/// that none is sent meanwhile.
#[tokio::test]
async fn queue_of_a_link_is_bounded_in_bytes() {
    const MAX_QUEUE_BYTES: usize = 4 << 20;
    let at = Position {
        term: Term(1),
        index: Index(1),
    };
    let entry = Entry {
        at,
        payload: Payload::Command(vec![0; DOCUMENT_BYTES].into()),
    };
    let envelope = Envelope {
        from: ReplicaId(1),
        to: ReplicaId(2),
        message: Message::Append(Append {
            term: Term(1),
            round: 0,
            prev: Position::default(),
            entries: vec![entry],
            commit: Index::ZERO,
        }),
    };
    let address = "127.0.0.1:1".parse().unwrap();
    let to = "127.0.0.1:2".parse().unwrap();
    let mut links = Links::new(address, LinkFaults::default());
    let mut queued = 0;
    while links.send(to, envelope.encode().unwrap()) {
        queued += DOCUMENT_BYTES;
        assert!(queued <= MAX_QUEUE_BYTES, "{queued} bytes are queued");
    }
}
