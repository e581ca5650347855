//! Replicas in one process on loopback.
#![allow(clippy::unwrap_used)]

mod replica_support;

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
