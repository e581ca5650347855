//! Budgets are never overspent, and requests are refused only when the budget is spent, also while
//! the control replicas are unreachable.

use futures_util::future::join_all;

use crate::harness::ChatAnswer;
use crate::harness::Fleet;
use crate::harness::FleetOptions;
use crate::harness::TokenTotals;
use crate::harness::wait_until;

/// Prepaid tokens of the small budget.
const SMALL_PREPAID: u64 = 4_000;
/// Maximum number of generated tokens of each chat.
const MAX_TOKENS: u64 = 50;
/// Number of chats that together cost more than the small budget.
const CHATS: usize = 100;
/// Number of chats that are sent concurrently.
const CONCURRENT_CHATS: usize = 50;

cases! {
    never_overspent: small(false) => exhaust_budget;
    cut_from_control: small(true) => spend_while_cut_off;
    one_disk_reachable: FleetOptions { relayed: true, ..FleetOptions::default() } => one_reachable;
}

/// Returns a fleet with a small budget.
fn small(relayed: bool) -> FleetOptions {
    FleetOptions {
        prepaid: Some(SMALL_PREPAID),
        relayed,
        ..FleetOptions::default()
    }
}

/// Two routers exhaust a small budget and refuse further requests until a top-up.
async fn exhaust_budget(fleet: Fleet) {
    let answers = spend(&fleet, "first", CHATS).await;
    let refused = answers.iter().filter(|answer| answer.status != 200).count();
    assert!(refused > 0, "the budget has to run out");
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status, 429, "{answer:?}");
        assert_eq!(answer.ran, "not_run", "{answer:?}");
        assert!(answer.retry_after, "{answer:?}");
    }
    let spent = fleet.budget("renters").await;
    assert!(
        spent["billed"].as_u64().unwrap() <= SMALL_PREPAID,
        "{spent}"
    );
    let served = answers.len() - refused;
    wait_until("a bill for each answer", || async {
        fleet.budget("renters").await["bills"] == served
    })
    .await;
    fleet
        .cli("ayse", &["budget", "top-up", "renters", "100000"])
        .await;
    wait_until("the top-up to be used", || async {
        let request = fleet
            .chat_request(0, "renter-chat", "after the top-up")
            .max_tokens(MAX_TOKENS);
        fleet.client.chat(&request).await.status == 200
    })
    .await;
    TokenTotals::of(&fleet).await.assert_consistent();
}

/// Both routers lose the connection to all control replicas and spend their allotments, while an
/// operator tops the budget up.
async fn spend_while_cut_off(fleet: Fleet) {
    spend(&fleet, "before", 4).await;
    for relay in &fleet.relays {
        relay.cut();
    }
    fleet
        .cli("ayse", &["budget", "top-up", "renters", "2000"])
        .await;
    let answers = spend(&fleet, "within", CHATS).await;
    let produced = TokenTotals::of(&fleet).await.produced;
    let refused = answers.iter().filter(|answer| answer.status != 200);
    for answer in refused {
        assert!([429, 503].contains(&answer.status), "{answer:?}");
        assert!(answer.retry_after, "{answer:?}");
    }
    let prepaid: u64 = TokenTotals::of_ledger(&fleet).await.prepaid;
    assert!(produced <= prepaid);
    for relay in &fleet.relays {
        relay.restore();
    }
    for router in 0..2 {
        wait_until("a router to serve after the cut", || async {
            let request = fleet
                .chat_request(router, "renter-chat", "after the cut")
                .max_tokens(MAX_TOKENS);
            fleet.client.chat(&request).await.status == 200
        })
        .await;
    }
    let all = spend(&fleet, "after", CHATS).await;
    assert!(all.iter().all(|answer| [200, 429].contains(&answer.status)));
    let row = fleet.budget("renters").await;
    assert_eq!(row["prepaid"], SMALL_PREPAID + 2_000);
    assert!(
        row["billed"].as_u64().unwrap() <= SMALL_PREPAID + 2_000,
        "{row}"
    );
    TokenTotals::of(&fleet).await.assert_consistent();
}

/// The routers reach only one control replica, a follower. Chats are still served, and all are
/// billed in the end.
async fn one_reachable(fleet: Fleet) {
    let leader = fleet.leader().await;
    let reachable = (leader + 1) % 3;
    let before = TokenTotals::of_ledger(&fleet).await.bills;
    spend(&fleet, "before", 10).await;
    for (number, relay) in fleet.relays.iter().enumerate() {
        if number != reachable {
            relay.cut();
        }
    }
    let during = spend(&fleet, "within", 20).await;
    for answer in &during {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    for relay in &fleet.relays {
        relay.restore();
    }
    wait_until("all bills to be in the ledger", || async {
        TokenTotals::of_ledger(&fleet).await.bills == before + 30
    })
    .await;
    TokenTotals::of(&fleet).await.assert_consistent();
}

/// Sends chats through both routers, [`CONCURRENT_CHATS`] at a time.
async fn spend(fleet: &Fleet, name: &str, count: usize) -> Vec<ChatAnswer> {
    let mut answers = Vec::new();
    for first in (0..count).step_by(CONCURRENT_CHATS) {
        let last = count.min(first + CONCURRENT_CHATS);
        let chats = (first..last).map(|n| {
            let key = format!("{name}-{n}");
            let request =
                fleet.chat_request(n % 2, "renter-chat", &format!("{name} {n} tokens=90"));
            let request = request.max_tokens(MAX_TOKENS).key(&key);
            async move { fleet.client.chat(&request).await }
        });
        answers.extend(join_all(chats).await);
    }
    answers
}
