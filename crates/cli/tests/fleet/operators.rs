//! Concurrent and repeated submissions of operators.

use serde_json::Value;

use crate::harness::Fleet;
use crate::harness::FleetOptions;
use crate::harness::example_path;
use crate::harness::wait_until;

cases! {
    equal_bases_race: FleetOptions::default() => publish_concurrently;
}

/// Two operators publish from the same base at the same time. One is accepted, the refusal of the
/// other names the accepted operator, and a resend changes nothing.
async fn publish_concurrently(fleet: Fleet) {
    let services = example_path("services");
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
        let (a, b) = (as_strs(&a), as_strs(&b));
        let (first, second) =
            tokio::join!(fleet.cli_output("ayse", &a), fleet.cli_output("bruno", &b),);
        let won = (first.status.success(), second.status.success());
        assert!(
            won.0 != won.1,
            "exactly one is accepted: {first:?} {second:?}"
        );
        let (winner, loser, name) = match won.0 {
            true => (&first, &second, "ayse"),
            false => (&second, &first, "bruno"),
        };
        assert_eq!(loser.status.code(), Some(4), "{loser:?}");
        let refusal = String::from_utf8_lossy(&loser.stderr).into_owned();
        assert!(
            refusal.contains(name),
            "the refusal names the accepted operator: {refusal}"
        );
        let accepted: Value = serde_json::from_slice(&winner.stdout).unwrap();
        expected += 1;
        assert_eq!(accepted["revision"], expected);
        let (operator, accepted_args) = if won.0 { ("ayse", &a) } else { ("bruno", &b) };
        let resent = fleet.cli(operator, accepted_args).await;
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
        .filter_map(|entry| entry["revision"].as_u64())
        .collect();
    let mut sorted = revisions.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(sorted, (1..=expected).collect::<Vec<u64>>(), "{history}");
    wait_until("the last revision to be in force", || async {
        let status = fleet.cli("reader", &["status"]).await;
        let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
        hosts.len() == 2 && hosts.iter().all(|host| host["in_force"] == expected)
    })
    .await;
}

fn as_strs(args: &[String; 6]) -> [&str; 6] {
    args.each_ref().map(String::as_str)
}
