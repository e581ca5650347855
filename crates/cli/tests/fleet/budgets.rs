//! Budgets: never overspent, and refused only when spent, also while control is cut off.

use futures_util::future::join_all;

use crate::harness::Chat;
use crate::harness::Count;
use crate::harness::Fleet;
use crate::harness::Shape;
use crate::harness::until;

/// First deposit of the small budget, in tokens.
const SMALL: u64 = 4_000;
const MOST: u64 = 50;
/// Chats that cost more than the small budget together.
const MANY: usize = 100;
/// Chats that are sent at once.
const AT_ONCE: usize = 50;

cases! {
    never_overspent: small(false) => run_down;
    cut_from_control: small(true) => cut;
    one_disk_reachable: Shape { relayed: true, ..Shape::default() } => one_disk;
}

fn small(relayed: bool) -> Shape {
    Shape {
        prepaid: Some(SMALL),
        relayed,
        ..Shape::default()
    }
}

/// Two routers spend a small budget to its end; a top-up lets them go on.
async fn run_down(fleet: Fleet) {
    let answers = spend(&fleet, "first", MANY).await;
    let refused = answers.iter().filter(|answer| answer.status != 200).count();
    assert!(refused > 0, "the budget has to run out");
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status, 429, "{answer:?}");
        assert_eq!(answer.ran, "not_run", "{answer:?}");
        assert!(answer.wait, "{answer:?}");
    }
    let spent = fleet.budget("renters").await;
    assert!(spent["billed"].as_u64().unwrap() <= SMALL, "{spent}");
    let served = answers.len() - refused;
    until("a bill for each answer", || async {
        fleet.budget("renters").await["bills"] == served
    })
    .await;
    fleet
        .cli("ayse", &["budget", "top-up", "renters", "100000"])
        .await;
    until("the top-up to be used", || async {
        let ask = fleet.ask(0, "renter-chat", "after the top-up").most(MOST);
        fleet.client.chat(&ask).await.status == 200
    })
    .await;
    Count::of(&fleet).await.check();
}

/// Both routers lose all control hosts, spend what they hold, and a top-up happens meanwhile.
async fn cut(fleet: Fleet) {
    spend(&fleet, "before", 4).await;
    for relay in &fleet.relays {
        relay.cut();
    }
    fleet
        .cli("ayse", &["budget", "top-up", "renters", "2000"])
        .await;
    let answers = spend(&fleet, "within", MANY).await;
    let produced = Count::of(&fleet).await.produced;
    let refused = answers.iter().filter(|answer| answer.status != 200);
    for answer in refused {
        assert!([429, 503].contains(&answer.status), "{answer:?}");
        assert!(answer.wait, "{answer:?}");
    }
    let prepaid: u64 = Count::ledger(&fleet).await.prepaid;
    assert!(produced <= prepaid);
    for relay in &fleet.relays {
        relay.heal();
    }
    for router in 0..2 {
        until("a router to serve after the cut", || async {
            let ask = fleet.ask(router, "renter-chat", "after the cut").most(MOST);
            fleet.client.chat(&ask).await.status == 200
        })
        .await;
    }
    let all = spend(&fleet, "after", MANY).await;
    assert!(all.iter().all(|answer| [200, 429].contains(&answer.status)));
    let row = fleet.budget("renters").await;
    assert_eq!(row["prepaid"], SMALL + 2_000);
    assert!(row["billed"].as_u64().unwrap() <= SMALL + 2_000, "{row}");
    Count::of(&fleet).await.check();
}

/// Only one control host is reachable, and it does not lead: chats go on, and all are billed.
async fn one_disk(fleet: Fleet) {
    let leader = fleet.leader().await;
    let kept = (leader + 1) % 3;
    let before = Count::ledger(&fleet).await.bills;
    spend(&fleet, "before", 10).await;
    for (number, relay) in fleet.relays.iter().enumerate() {
        if number != kept {
            relay.cut();
        }
    }
    let within = spend(&fleet, "within", 20).await;
    for answer in &within {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    for relay in &fleet.relays {
        relay.heal();
    }
    until("all bills to be agreed on", || async {
        Count::ledger(&fleet).await.bills == before + 30
    })
    .await;
    Count::of(&fleet).await.check();
}

/// Sends chats through both routers, a few at once.
async fn spend(fleet: &Fleet, name: &str, count: usize) -> Vec<Chat> {
    let mut answers = Vec::new();
    for first in (0..count).step_by(AT_ONCE) {
        let last = count.min(first + AT_ONCE);
        let chats = (first..last).map(|n| {
            let key = format!("{name}-{n}");
            let ask = fleet.ask(n % 2, "renter-chat", &format!("{name} {n} tokens=90"));
            let ask = ask.most(MOST).key(&key);
            async move { fleet.client.chat(&ask).await }
        });
        answers.extend(join_all(chats).await);
    }
    answers
}
