//! Operators who race each other and resend.

use serde_json::Value;

use crate::harness::Fleet;
use crate::harness::Shape;
use crate::harness::example;
use crate::harness::until;

cases! {
    equal_bases_race: Shape::default() => race;
}

/// Two operators publish from the same base: one wins, the other is told who; resends change nothing.
async fn race(fleet: Fleet) {
    let services = example("services");
    let args = |id: &'static str| {
        let services = services.clone();
        move |base: &str| ["publish", &services, "--base", base, "--id", id].map(str::to_owned)
    };
    let mut expected = 1;
    for round in 0..3 {
        let base = expected.to_string();
        let (a, b) = (
            args(["a0", "a1", "a2"][round])(&base),
            args(["b0", "b1", "b2"][round])(&base),
        );
        let (a, b) = (strs(&a), strs(&b));
        let (first, second) =
            tokio::join!(fleet.cli_output("ayse", &a), fleet.cli_output("bruno", &b),);
        let won = (first.status.success(), second.status.success());
        assert!(won.0 != won.1, "exactly one wins: {first:?} {second:?}");
        let (winner, loser, name) = match won.0 {
            true => (&first, &second, "ayse"),
            false => (&second, &first, "bruno"),
        };
        assert_eq!(loser.status.code(), Some(4), "{loser:?}");
        let told = String::from_utf8_lossy(&loser.stderr).into_owned();
        assert!(told.contains(name), "the loser is told who won: {told}");
        let accepted: Value = serde_json::from_slice(&winner.stdout).unwrap();
        expected += 1;
        assert_eq!(accepted["revision"], expected);
        let (operator, again) = if won.0 { ("ayse", &a) } else { ("bruno", &b) };
        let resent = fleet.cli(operator, again).await;
        assert_eq!(
            resent["revision"], expected,
            "a resend gets the first answer"
        );
    }
    let history = fleet.cli("reader", &["config", "history"]).await;
    let revisions: Vec<u64> = history
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|past| past["revision"].as_u64())
        .collect();
    let mut sorted = revisions.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(sorted, (1..=expected).collect::<Vec<u64>>(), "{history}");
    until("the last revision to be in force", || async {
        let status = fleet.cli("reader", &["status"]).await;
        let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
        hosts.len() == 2 && hosts.iter().all(|host| host["in_force"] == expected)
    })
    .await;
}

fn strs(args: &[String; 6]) -> [&str; 6] {
    args.each_ref().map(String::as_str)
}
