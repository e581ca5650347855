//! Measures the choice and the limits of a router fleet against simpler policies, in simulated time.
//!
//! `cargo run --release -p chestnutnotch-core --example choice_policy`. One seed, the real cores;
//! the same requests for each policy. Prints Markdown tables. Two optional arguments keep only the
//! scenarios and the policies whose names contain them; `sizes` alone prints bytes and memory.

mod engine;
mod fleet;
mod plan;
mod sizes;
mod work;

use fleet::Fleet;
use fleet::PATIENCE_MICROS;
use plan::Fate;
use plan::Outcome;
use plan::Policy;
use plan::SITES;
use plan::Site;
use plan::Trouble;
use plan::policies;
use plan::scenarios;
use work::Request;

const SEED: u64 = 20_261_203;
const WARM_MICROS: u64 = 20_000_000;
const START_MICROS: u64 = 3_000_000;
const SAMPLED_SHEDS: usize = 40;

fn main() {
    let only = std::env::args().nth(1).unwrap_or_default();
    let alone = std::env::args().nth(2).unwrap_or_default();
    if only == "sizes" {
        sizes::print();
        return;
    }
    for site in SITES {
        for scenario in scenarios() {
            if !scenario.name.contains(&only) {
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
                if !policy.name.contains(&alone) {
                    continue;
                }
                let run = Fleet::new(site, policy, scenario.trouble, &requests).run();
                let truth = match policy.name {
                    "ours" => truth(site, policy, scenario.trouble, &requests, &run.outcomes),
                    _ => None,
                };
                row(policy, scenario.trouble, &requests, &run, truth);
            }
        }
    }
}

/// Of a sample of the sheds, how many requests would have missed their deadline had they waited.
fn truth(
    site: Site,
    policy: Policy,
    trouble: Trouble,
    requests: &[Request],
    outcomes: &[Outcome],
) -> Option<(usize, usize)> {
    let sheds: Vec<usize> = (0..outcomes.len())
        .filter(|&n| outcomes[n].fate == Fate::Shed)
        .collect();
    let stride = sheds.len().div_ceil(SAMPLED_SHEDS).max(1);
    let sample: Vec<usize> = sheds.into_iter().step_by(stride).collect();
    if sample.is_empty() {
        return None;
    }
    let missed = sample
        .iter()
        .filter(|&&index| {
            let run = Fleet::new(site, policy, trouble, requests)
                .sparing(index)
                .run();
            run.outcomes[index].fate != Fate::Whole
        })
        .count();
    Some((missed, sample.len()))
}

fn row(
    policy: Policy,
    trouble: Trouble,
    requests: &[Request],
    run: &Fleet<'_>,
    truth: Option<(usize, usize)>,
) {
    let counted: Vec<(&Request, &Outcome)> = requests
        .iter()
        .zip(&run.outcomes)
        .filter(|(request, _)| request.at >= WARM_MICROS)
        .collect();
    let span = |request: &Request, at: u64| at.saturating_sub(request.at + START_MICROS);
    let firsts = counted
        .iter()
        .filter_map(|(request, one)| one.first.map(|at| span(request, at)))
        .collect();
    let whole: Vec<&(&Request, &Outcome)> = counted
        .iter()
        .filter(|(_, one)| one.fate == Fate::Whole)
        .collect();
    let ends = whole
        .iter()
        .map(|(request, one)| span(request, one.end))
        .collect();
    let cached: u64 = whole.iter().map(|(_, one)| one.cached).sum();
    let prompt: u64 = whole.iter().map(|(request, _)| request.prompt).sum();
    let count = |fate: Fate| counted.iter().filter(|(_, one)| one.fate == fate).count();
    let small: Vec<&(&Request, &Outcome)> = counted
        .iter()
        .filter(|(request, _)| request.workspace == work::SMALL)
        .collect();
    let served = small
        .iter()
        .filter(|(_, one)| one.fate == Fate::Whole)
        .count();
    let small_firsts = small
        .iter()
        .filter_map(|(request, one)| one.first.map(|at| span(request, at)))
        .collect();
    let last = trouble.leave.map_or("-".to_owned(), |when| {
        seconds(run.last_sent.saturating_sub(when))
    });
    println!(
        "| {} | {} | {} | {}% | {} | {} | {} | {} | {} | {:.3} | {}%, {} | {} |",
        policy.name,
        quantiles(firsts),
        quantiles(ends),
        100 * cached / prompt.max(1),
        count(Fate::Whole),
        count(Fate::Shed),
        truth.map_or("-".to_owned(), |(missed, all)| format!("{missed}/{all}")),
        count(Fate::Refused),
        count(Fate::Missed),
        run.attempts as f64 / run.firsts.max(1) as f64,
        100 * served / small.len().max(1),
        quantile(small_firsts, 95),
        last,
    );
    debug_assert!(
        counted
            .iter()
            .all(|(_, one)| one.end <= u64::MAX - PATIENCE_MICROS)
    );
}

fn quantiles(all: Vec<u64>) -> String {
    let parts: Vec<String> = [50, 95, 99].map(|part| quantile(all.clone(), part)).into();
    parts.join("/")
}

fn quantile(mut all: Vec<u64>, part: usize) -> String {
    all.sort_unstable();
    let index = all.len() * part / 100;
    all.get(index.min(all.len().saturating_sub(1)))
        .map_or("-".to_owned(), |at| seconds(*at))
}

fn seconds(micros: u64) -> String {
    format!("{:.3}", micros as f64 / 1_000_000.0)
}
