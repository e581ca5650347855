//! Compares a router fleet's choice of upstreams and admission control with simpler policies, in
//! simulated time.
//!
//! Run it by `cargo run --release -p chestnutnotch-core --example choice_policy`. It runs the
//! production state machines with one seed and the same requests for each policy, and prints
//! Markdown tables. Two optional arguments keep only the scenarios and the policies whose names
//! contain them; `sizes` alone prints the size of announcements and the memory of a table.

mod engine;
mod fleet;
mod plan;
mod sizes;
mod work;

use fleet::DEADLINE_MICROS;
use fleet::Fleet;
use plan::Disruption;
use plan::Outcome;
use plan::Policy;
use plan::SITES;
use plan::Site;
use plan::Status;
use plan::policies;
use plan::scenarios;
use work::Request;

/// Seed of the load.
const SEED: u64 = 20_261_203;
/// Requests sent earlier than this are not reported, while the caches fill.
const WARMUP_MICROS: u64 = 20_000_000;
/// Simulated time at which the load starts, after the routers have heard of the upstreams.
const LOAD_START_MICROS: u64 = 3_000_000;
/// Maximum number of shed requests of a run that are simulated again.
const MAX_SAMPLED_SHEDS: usize = 40;

fn main() {
    let scenario_filter = std::env::args().nth(1).unwrap_or_default();
    let policy_filter = std::env::args().nth(2).unwrap_or_default();
    if scenario_filter == "sizes" {
        sizes::print();
        return;
    }
    for site in SITES {
        for scenario in scenarios() {
            if !scenario.name.contains(&scenario_filter) {
                continue;
            }
            let engines = if scenario.desk {
                site.desks
            } else {
                site.engines
            };
            let site = Site { engines, ..site };
            let requests = scenario.load.requests(SEED, site.routers);
            println!("\n{}: {}\n", site.name, scenario.name);
            println!(
                "| policy | first token p50/p95/p99 s | whole p50/p95/p99 s | cached | whole | shed | true | refused | missed | attempts/first | small: served, p95 first s | last new s |"
            );
            println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
            for policy in policies() {
                if !policy.name.contains(&policy_filter) {
                    continue;
                }
                let run = Fleet::new(site, policy, scenario.disruption, &requests).run();
                let rechecked = match policy.name {
                    "ours" => {
                        recheck_sheds(site, policy, scenario.disruption, &requests, &run.outcomes)
                    }
                    _ => None,
                };
                print_row(policy, scenario.disruption, &requests, &run, rechecked);
            }
        }
    }
}

/// Simulates a sample of the shed requests again, each without being shed. Returns how many of them
/// missed their deadline, so that shedding them was right, and the size of the sample.
fn recheck_sheds(
    site: Site,
    policy: Policy,
    disruption: Disruption,
    requests: &[Request],
    outcomes: &[Outcome],
) -> Option<(usize, usize)> {
    let sheds: Vec<usize> = (0..outcomes.len())
        .filter(|&n| outcomes[n].status == Status::Shed)
        .collect();
    let stride = sheds.len().div_ceil(MAX_SAMPLED_SHEDS).max(1);
    let sample: Vec<usize> = sheds.into_iter().step_by(stride).collect();
    if sample.is_empty() {
        return None;
    }
    let missed = sample
        .iter()
        .filter(|&&index| {
            let run = Fleet::new(site, policy, disruption, requests)
                .exempting(index)
                .run();
            run.outcomes[index].status != Status::Completed
        })
        .count();
    Some((missed, sample.len()))
}

/// Prints the row of one policy.
fn print_row(
    policy: Policy,
    disruption: Disruption,
    requests: &[Request],
    run: &Fleet<'_>,
    rechecked: Option<(usize, usize)>,
) {
    let counted: Vec<(&Request, &Outcome)> = requests
        .iter()
        .zip(&run.outcomes)
        .filter(|(request, _)| request.sent_at >= WARMUP_MICROS)
        .collect();
    let elapsed =
        |request: &Request, at: u64| at.saturating_sub(request.sent_at + LOAD_START_MICROS);
    let first_tokens = counted
        .iter()
        .filter_map(|(request, outcome)| outcome.first_token.map(|at| elapsed(request, at)))
        .collect();
    let completed: Vec<&(&Request, &Outcome)> = counted
        .iter()
        .filter(|(_, outcome)| outcome.status == Status::Completed)
        .collect();
    let durations = completed
        .iter()
        .map(|(request, outcome)| elapsed(request, outcome.end))
        .collect();
    let cached: u64 = completed.iter().map(|(_, outcome)| outcome.cached).sum();
    let prompt: u64 = completed.iter().map(|(request, _)| request.prompt).sum();
    let count = |status: Status| {
        counted
            .iter()
            .filter(|(_, outcome)| outcome.status == status)
            .count()
    };
    let small: Vec<&(&Request, &Outcome)> = counted
        .iter()
        .filter(|(request, _)| request.workspace == work::SMALLEST)
        .collect();
    let served = small
        .iter()
        .filter(|(_, outcome)| outcome.status == Status::Completed)
        .count();
    let small_first_tokens = small
        .iter()
        .filter_map(|(request, outcome)| outcome.first_token.map(|at| elapsed(request, at)))
        .collect();
    let last_sent = disruption.leave.map_or("-".to_owned(), |when| {
        seconds(run.last_sent.saturating_sub(when))
    });
    println!(
        "| {} | {} | {} | {}% | {} | {} | {} | {} | {} | {:.3} | {}%, {} | {} |",
        policy.name,
        quantiles(first_tokens),
        quantiles(durations),
        100 * cached / prompt.max(1),
        count(Status::Completed),
        count(Status::Shed),
        rechecked.map_or("-".to_owned(), |(missed, all)| format!("{missed}/{all}")),
        count(Status::Refused),
        count(Status::Missed),
        run.attempts as f64 / run.firsts.max(1) as f64,
        100 * served / small.len().max(1),
        quantile(small_first_tokens, 95),
        last_sent,
    );
    debug_assert!(
        counted
            .iter()
            .all(|(_, outcome)| outcome.end <= u64::MAX - DEADLINE_MICROS)
    );
}

/// Formats the 50th, 95th and 99th percentile in seconds.
fn quantiles(values: Vec<u64>) -> String {
    let percentiles: Vec<String> = [50, 95, 99]
        .map(|percent| quantile(values.clone(), percent))
        .into();
    percentiles.join("/")
}

/// Formats a percentile in seconds, or `-` without values.
fn quantile(mut values: Vec<u64>, percent: usize) -> String {
    values.sort_unstable();
    let index = values.len() * percent / 100;
    values
        .get(index.min(values.len().saturating_sub(1)))
        .map_or("-".to_owned(), |at| seconds(*at))
}

/// Formats a time in microseconds as seconds.
fn seconds(micros: u64) -> String {
    format!("{:.3}", micros as f64 / 1_000_000.0)
}
