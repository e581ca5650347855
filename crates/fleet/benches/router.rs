//! Cost of a router on one core: added latency, short chats a second and token events a second.
//!
//! The router runs on a thread of its own; the upstream, the control process and the callers run on
//! others. Every chat passes the whole chain of filters, the bill included. The control process
//! answers from memory. The same load is also sent directly to the upstream, for comparison.
#![allow(clippy::panic, clippy::unwrap_used)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chestnutnotch::edges::http::HttpClient;
use chestnutnotch_standin::Faults;
use hdrhistogram::Histogram;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use support::RouterFixture;
use support::control::Control;

const PREPAID: u64 = u64::MAX / 4;
/// Time that each load runs for.
const LOAD_DURATION: Duration = Duration::from_secs(5);
const PATH: &str = "/v1/chat/completions";

fn main() {
    let upstream_runtime = runtime(3);
    let caller_runtime = runtime(3);
    let control = upstream_runtime.block_on(Control::start(PREPAID));
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let router = Builder::new_current_thread().enable_all().build().unwrap();
        router.block_on(async {
            let fixture = RouterFixture::with_control(control).await;
            tx.send(fixture.http).unwrap();
            std::future::pending::<()>().await;
            drop(fixture);
        });
    });
    let http = rx.recv().unwrap();
    let offer = json!({"models": ["fitting"], "slots": 100_000, "queue": 100_000});
    let engine = upstream_runtime.block_on(support::start_standin(
        http,
        "engine",
        offer,
        Faults::default(),
    ));
    caller_runtime.block_on(support::wait_until_known(http, "engine"));

    println!("path | callers | tokens | chats/s | tokens/s | p50 ms | p99 ms");
    for (caller_count, tokens) in [(1, 8), (64, 8), (64, 200)] {
        for (name, address) in [("direct", engine.address), ("router", http)] {
            let load = Load {
                address,
                callers: caller_count,
                tokens,
            };
            let result = caller_runtime.block_on(load.run());
            result.print(name, &load);
        }
    }
}

fn runtime(threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .unwrap()
}

/// A number of callers that each send one chat after the other.
struct Load {
    address: SocketAddr,
    callers: u64,
    /// Tokens that each answer generates.
    tokens: u64,
}

struct LoadResult {
    /// Times from request to end of answer, in microseconds.
    latencies: Histogram<u64>,
    /// Chats that failed or got an incomplete answer.
    failed: u64,
    duration: Duration,
}

impl Load {
    async fn run(&self) -> LoadResult {
        let start = Instant::now();
        let callers =
            (0..self.callers).map(|_| tokio::spawn(run_caller(self.address, self.tokens)));
        let mut latencies = Histogram::new(3).unwrap();
        let mut failed = 0;
        for caller in futures_util::future::join_all(callers).await {
            let (caller_latencies, caller_failures) = caller.unwrap();
            latencies.add(&caller_latencies).unwrap();
            failed += caller_failures;
        }
        LoadResult {
            latencies,
            failed,
            duration: start.elapsed(),
        }
    }
}

/// Sends chats for [`LOAD_DURATION`]. Returns their latencies in microseconds and the number of
/// those that failed.
async fn run_caller(address: SocketAddr, tokens: u64) -> (Histogram<u64>, u64) {
    let client = HttpClient::new();
    let mut body: Value = support::chat_body("boots", tokens, true);
    body["max_tokens"] = json!(tokens);
    let body = Bytes::from(body.to_string());
    let headers = [
        ("authorization", "Bearer desk-key"),
        ("content-type", "application/json"),
    ];
    let mut latencies = Histogram::new(3).unwrap();
    let mut failed = 0;
    let start = Instant::now();
    while start.elapsed() < LOAD_DURATION {
        let sent = Instant::now();
        let answer =
            support::send(&client, address, Method::POST, PATH, &headers, body.clone()).await;
        latencies.record(sent.elapsed().as_micros() as u64).unwrap();
        failed += u64::from(answer.status != StatusCode::OK || !answer.is_complete());
    }
    (latencies, failed)
}

impl LoadResult {
    fn print(&self, name: &str, load: &Load) {
        let chats = self.latencies.len() as f64 / self.duration.as_secs_f64();
        println!(
            "{name} | {} | {} | {chats:.0} | {:.0} | {:.3} | {:.3}{}",
            load.callers,
            load.tokens,
            chats * load.tokens as f64,
            self.latencies.value_at_quantile(0.5) as f64 / 1e3,
            self.latencies.value_at_quantile(0.99) as f64 / 1e3,
            match self.failed {
                0 => String::new(),
                count => format!(" | {count} refused"),
            },
        );
    }
}
