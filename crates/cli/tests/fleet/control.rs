//! Control replicas that are killed, frozen, isolated, or lose their data.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde_json::Value;

use crate::harness::ChatAnswer;
use crate::harness::Fleet;
use crate::harness::FleetOptions;
use crate::harness::TokenTotals;
use crate::harness::example_path;
use crate::harness::poll_for;
use crate::harness::wait_until;

/// Number of chats that the load sends at least.
const MIN_CHATS: usize = 60;

cases! {
    leader_killed: FleetOptions::default() => kill_leader;
    leader_frozen_and_thawed: FleetOptions::default() => freeze_leader;
    second_host_lost_after_repair: FleetOptions::default() => lose_two_disks;
    isolated_host_asked_by_restarting_router: FleetOptions::default() => isolate_replica;
}

/// The leader is killed under load. No chat may be refused because of that, and each call of the
/// plain service has to run once.
async fn kill_leader(mut fleet: Fleet) {
    let before = TokenTotals::of_ledger(&fleet).await.bills;
    let leader = fleet.leader().await;
    let stop_load = Arc::new(AtomicBool::new(false));
    let load = start_load(&fleet, stop_load.clone());
    fleet.control[leader].kill();
    let calls = reserve_until_done(&fleet).await;
    wait_until("another leader", || async {
        fleet.leader().await != leader
    })
    .await;
    stop_load.store(true, Ordering::Relaxed);
    let answers = load.await.unwrap();
    for answer in &answers {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    fleet.control[leader].start();
    let stats = fleet.desk_stats().await;
    assert_eq!(stats.keys.len(), calls);
    assert!(stats.keys.values().all(|runs| *runs == 1), "{stats:?}");
    wait_until("a bill for each chat", || async {
        TokenTotals::of_ledger(&fleet).await.bills == before + answers.len() as u64
    })
    .await;
    TokenTotals::of(&fleet).await.assert_consistent();
}

/// The leader is frozen and another takes over. When the old leader resumes, it may still believe
/// that it leads; it must not answer with outdated state.
async fn freeze_leader(fleet: Fleet) {
    let leader = fleet.leader().await;
    let mut others = fleet.control_addresses();
    let old = others.remove(leader);
    fleet.control[leader].freeze();
    let top_up = ["budget", "top-up", "renters", "77", "--id", "while-frozen"];
    poll_for("the others to accept a change", || async {
        let output = fleet.cli_with(&others, "ayse", "5", &top_up).await;
        output.status.success().then_some(())
    })
    .await;
    let revision = publish_again(&fleet, &others).await;
    fleet.control[leader].thaw();
    let shown = fleet
        .cli_with(&[old], "reader", "2", &["config", "show"])
        .await;
    if shown.status.success() {
        let shown: Value = serde_json::from_slice(&shown.stdout).unwrap();
        assert_eq!(shown["revision"], revision, "never an older one");
    }
    let row = fleet
        .cli_with(&[old], "reader", "2", &["budget", "show", "renters"])
        .await;
    if row.status.success() {
        let row: Value = serde_json::from_slice(&row.stdout).unwrap();
        assert_eq!(row[0]["prepaid"], 40_000_077);
    }
    wait_until_in_force(&fleet, revision).await;
    assert_eq!(fleet.budget("renters").await["prepaid"], 40_000_077);
    let again = fleet.cli("ayse", &top_up).await;
    assert_eq!(again["prepaid"], 40_000_077);
    TokenTotals::of(&fleet).await.assert_consistent();
}

/// A follower loses its data and is replaced by a new replica. Directly afterwards the leader, or
/// else another replica, is lost with its data; no bill or top-up may be missing.
async fn lose_two_disks(mut fleet: Fleet) {
    for n in 0..10 {
        let request = fleet.chat_request(n % 2, "renter-chat", &format!("before {n}"));
        assert_eq!(fleet.client.chat(&request).await.status, 200);
    }
    let leader = fleet.leader().await;
    let lost = (leader + 1) % 3;
    let old = replica_status(&fleet, lost).await["id"].clone();
    fleet.control[lost].kill();
    std::fs::remove_dir_all(fleet.data_folder(lost)).unwrap();
    fleet
        .cli(
            "ayse",
            &["budget", "top-up", "renters", "5", "--id", "one-down"],
        )
        .await;
    fleet.control[lost].start();
    wait_until(
        "the emptied host to vote again under a new identity",
        || async {
            let own = replica_status(&fleet, lost).await;
            let voters = own["voters"].as_array().cloned().unwrap_or_default();
            own["answers"] == true && own["id"] != old && voters.contains(&own["id"])
        },
    )
    .await;
    let before = TokenTotals::of_ledger(&fleet).await;
    let leader = fleet.leader().await;
    let second = if leader == lost {
        (lost + 1) % 3
    } else {
        leader
    };
    fleet.control[second].kill();
    std::fs::remove_dir_all(fleet.data_folder(second)).unwrap();
    let row = fleet.budget("renters").await;
    assert_eq!(row["prepaid"], 40_000_005, "{row}");
    let after = TokenTotals::of_ledger(&fleet).await;
    assert_eq!((after.bills, after.billed), (before.bills, before.billed));
    fleet
        .cli(
            "ayse",
            &["budget", "top-up", "renters", "6", "--id", "two-down"],
        )
        .await;
    let request = fleet.chat_request(0, "renter-chat", "after both");
    assert_eq!(fleet.client.chat(&request).await.status, 200);
    assert_eq!(fleet.budget("renters").await["prepaid"], 40_000_011);
    TokenTotals::of(&fleet).await.assert_consistent();
}

/// A control replica misses a revision, and is then the only one that a restarting router reaches.
/// The router must not serve requests until a quorum confirms its configuration.
async fn isolate_replica(mut fleet: Fleet) {
    let leader = fleet.leader().await;
    let isolated = (leader + 1) % 3;
    let mut others = fleet.control_addresses();
    others.remove(isolated);
    fleet.control[isolated].freeze();
    let revision = publish_again(&fleet, &others).await;
    fleet.routers[1].kill();
    for number in (0..3).filter(|number| *number != isolated) {
        fleet.control[number].freeze();
    }
    fleet.control[isolated].thaw();
    fleet.routers[1].start();
    wait_until("the router to listen", || async {
        fleet
            .client
            .get(fleet.router_address(1), "/healthz")
            .await
            .status
            == 200
    })
    .await;
    for _ in 0..40 {
        let ready = fleet.client.get(fleet.router_address(1), "/readyz").await;
        assert_ne!(ready.status, 200, "no configuration is confirmed");
        let chat = fleet
            .client
            .chat(&fleet.chat_request(1, "renter-chat", "too early"))
            .await;
        assert_eq!(
            (chat.status, chat.ran.as_str()),
            (503, "not_run"),
            "{chat:?}"
        );
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    for number in (0..3).filter(|number| *number != isolated) {
        fleet.control[number].thaw();
    }
    fleet.wait_until_serving(1).await;
    wait_until_in_force(&fleet, revision).await;
}

/// Sends chats through both routers in turn, one at a time, until `stop_load` is set.
fn start_load(
    fleet: &Fleet,
    stop_load: Arc<AtomicBool>,
) -> tokio::task::JoinHandle<Vec<ChatAnswer>> {
    let client = fleet.client.clone();
    let requests = [0, 1].map(|router| fleet.chat_request(router, "renter-chat", "under load"));
    tokio::spawn(async move {
        let mut answers = Vec::new();
        while answers.len() < MIN_CHATS || !stop_load.load(Ordering::Relaxed) {
            let request = &requests[answers.len() % 2];
            answers.push(client.chat(request).await);
        }
        answers
    })
}

/// Sends reservations with a key each, and resends each until it succeeds. Returns their number.
async fn reserve_until_done(fleet: &Fleet) -> usize {
    const CALLS: usize = 12;
    for n in 0..CALLS {
        let key = format!("call-{n}");
        wait_until("a reservation to be answered", || async {
            let answer = fleet.desk_call(n % 2, "reserve", &key, "jacket").await;
            // Without a quorum, the outcome of an earlier submission under the key is unknown.
            let retryable = answer.ran() == "not_run" || answer.code() == "no_quorum";
            let refused = answer.status == 503 && retryable;
            let running = answer.status == 409;
            assert!(answer.status == 200 || refused || running, "{answer:?}");
            answer.status == 200
        })
        .await;
    }
    CALLS
}

/// Publishes the example through the given replicas and returns the revision.
async fn publish_again(fleet: &Fleet, control: &[std::net::SocketAddr]) -> u64 {
    let services = example_path("services");
    let args = ["publish", &services, "--id", "again"];
    let published = poll_for("a revision to be accepted", || async {
        let output = fleet.cli_with(control, "ayse", "5", &args).await;
        serde_json::from_slice::<Value>(&output.stdout).ok()
    })
    .await;
    published["revision"].as_u64().unwrap()
}

/// Returns the row of a control replica in the output of `status`.
async fn replica_status(fleet: &Fleet, number: usize) -> Value {
    let output = fleet.cli_output("reader", &["status"]).await;
    let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    status["replicas"][number].clone()
}

/// Waits until a revision is in force on every router.
async fn wait_until_in_force(fleet: &Fleet, revision: u64) {
    wait_until("the revision to be in force on every router", || async {
        let status = fleet.cli("reader", &["status"]).await;
        let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
        hosts.len() == fleet.routers.len() && hosts.iter().all(|host| host["in_force"] == revision)
    })
    .await;
}
