//! Compares policies that spend prepaid budgets from many routers, over the pure decision code in
//! simulated time.
//!
//! The policies are allotments that follow demand (the ledger of this crate), an even split among
//! the routers, and a check at the control quorum for each request. Prints a table in Markdown.
//!
//! `cargo run --release -p chestnutnotch-core --example budget_policy`

mod simulation;

use simulation::DEPLOYMENTS;
use simulation::Deployment;
use simulation::IDLE_SECONDS;
use simulation::Policy;
use simulation::Simulation;

fn print(deployment: Deployment, policy: Policy, has_partition: bool) {
    let mut tally = Simulation::new(deployment, policy, has_partition).run();
    tally.waits.sort_unstable();
    let millis = |part: f64| {
        let at = (tally.waits.len() as f64 * part) as usize;
        tally
            .waits
            .get(at)
            .map_or(0.0, |micros| *micros as f64 / 1e3)
    };
    let requests = tally.requests as f64;
    let share = |count: u64| 100.0 * count as f64 / requests;
    println!(
        "| {} | {} | {policy:?} | {} | {} | {} | {:.3}% | {:.3}% | {:.3}% | {:.1} | {:.1} | {:.2} | {:.0} | {:.1} |",
        deployment.name,
        if has_partition { "cut" } else { "steady" },
        tally.requests,
        tally.overspend,
        tally.refused,
        share(tally.false_refusals),
        share(tally.false_refusals_many),
        share(tally.false_refusals_ample),
        millis(0.5),
        millis(0.99),
        tally.messages as f64 / requests,
        tally.bytes as f64 / requests,
        tally.idle_bytes as f64 / (IDLE_SECONDS * deployment.routers as u64) as f64,
    );
}

fn main() {
    println!(
        "| deployment | run | way | requests | overspend | refused | false | false, 50 left | false, 50 left, ample budgets | \
         wait p50 ms | wait p99 ms | messages/request | bytes/request | bytes/idle router second |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for deployment in DEPLOYMENTS {
        for has_partition in [false, true] {
            for policy in [Policy::Adaptive, Policy::Even, Policy::Central] {
                print(deployment, policy, has_partition);
            }
        }
    }
}
