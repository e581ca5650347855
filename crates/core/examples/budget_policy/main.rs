//! Compares ways to spend prepaid budgets from many routers, over the pure cores in simulated time.
//!
//! Three ways: allotments that follow demand (the ledger and the purses), an even split among the
//! routers, and a check at the control quorum for each request. Prints a table in Markdown.
//!
//! `cargo run --release -p chestnutnotch-core --example budget_policy`

mod world;

use world::DEPLOYMENTS;
use world::Deployment;
use world::IDLE_SECONDS;
use world::Way;
use world::World;

fn print(deployment: Deployment, way: Way, has_cut: bool) {
    let mut tally = World::new(deployment, way, has_cut).run();
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
        "| {} | {} | {way:?} | {} | {} | {} | {:.3}% | {:.3}% | {:.3}% | {:.1} | {:.1} | {:.2} | {:.0} | {:.1} |",
        deployment.name,
        if has_cut { "cut" } else { "steady" },
        tally.requests,
        tally.over,
        tally.refused,
        share(tally.untrue),
        share(tally.untrue_many),
        share(tally.untrue_ample),
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
        for has_cut in [false, true] {
            for way in [Way::Adaptive, Way::Even, Way::Central] {
                print(deployment, way, has_cut);
            }
        }
    }
}
