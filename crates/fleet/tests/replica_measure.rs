//! Measures a group of three replicas on loopback; prints a table. Run it alone, in release:
//! `cargo test --release -p chestnutnotch --test replica_measure -- --ignored --nocapture`.
#![allow(clippy::unwrap_used)]

mod replica_support;

use std::time::Duration;
use std::time::Instant;

use chestnutnotch::controllers::replica::ReplicaHandle;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::TopUp;
use chestnutnotch_core::id::Budget;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::SubmissionId;
use chestnutnotch_core::unit::Tokens;
use hdrhistogram::Histogram;
use replica_support::Group;

/// Number of commands in each measurement, over all clients.
const COMMANDS: u64 = 10_000;

/// A command that is distinct for each client and number.
fn command(client: u64, number: u64) -> Command {
    Command::TopUp(TopUp {
        id: SubmissionId::from(format!("{client}-{number}")),
        budget: Budget::from("measured"),
        amount: Tokens(1),
    })
}

/// Submits commands one after the other and returns their latencies, in microseconds.
async fn client(handle: ReplicaHandle, client: u64, count: u64) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).unwrap();
    for number in 0..count {
        let start = Instant::now();
        let operator = Operator::from("measure");
        handle
            .submit(operator, command(client, number))
            .await
            .unwrap();
        latencies
            .record(start.elapsed().as_micros() as u64)
            .unwrap();
    }
    latencies
}

/// Measures and prints throughput and latency with a number of concurrent clients.
async fn commits(group: &Group, leader: usize, clients: u64) {
    let bytes = group.relayed_bytes();
    let start = Instant::now();
    let count = COMMANDS / clients;
    let tasks: Vec<_> = (0..clients)
        .map(|at| {
            tokio::spawn(client(
                group.handle(leader).clone(),
                clients * 1_000 + at,
                count,
            ))
        })
        .collect();
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    for task in tasks {
        latencies.add(task.await.unwrap()).unwrap();
    }
    let total = (count * clients) as f64;
    println!(
        "{clients:>4} clients | {:>7.0} commits/s | p50 {:>6} us | p99 {:>6} us | {:>5.0} bytes/commit",
        total / start.elapsed().as_secs_f64(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        (group.relayed_bytes() - bytes) as f64 / total,
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "a measurement"]
async fn table() {
    let mut group = Group::start_with_relays(3, 1_000_000, true).await;
    let all = group.running();
    let leader = group.leader(&all).await;
    for clients in [1, 16, 256] {
        commits(&group, leader, clients).await;
    }
    let idle = Duration::from_secs(5);
    let bytes = group.relayed_bytes();
    tokio::time::sleep(idle).await;
    let rate = (group.relayed_bytes() - bytes) as f64 / idle.as_secs_f64();
    println!("idle, heartbeat 50 ms | {rate:.0} bytes/s between three replicas");
    let target = group.applied(leader).await;
    let other = (leader + 1) % 3;
    group.stop(other).await;
    let start = Instant::now();
    group.restart(other).await;
    let open = start.elapsed();
    group
        .wait_until("level", async |g| g.applied(other).await >= target)
        .await;
    println!(
        "restart with {target} entries, no snapshot | open {:?} | level {:?}",
        open,
        start.elapsed()
    );
}
