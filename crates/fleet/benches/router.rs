//! Cost of a router on one core: latency that it adds, short chats a second, token events a second.
//!
//! The router runs on one thread of its own; engine, control and callers run on others. Every chat
//! passes the whole chain, the bill included; the control process answers out of memory.
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
const SPAN: Duration = Duration::from_secs(5);
const PATH: &str = "/v1/chat/completions";

fn main() {
    let upstreams = runtime(3);
    let callers = runtime(3);
    let control = upstreams.block_on(Control::start(PREPAID));
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
    let kind = json!({"models": ["fitting"], "slots": 100_000, "queue": 100_000});
    let engine = upstreams.block_on(support::start_standin(
        http,
        "engine",
        kind,
        Faults::default(),
    ));
    callers.block_on(support::wait_until_known(http, "engine"));

    println!("path | callers | tokens | chats/s | tokens/s | p50 ms | p99 ms");
    for (callers_count, tokens) in [(1, 8), (64, 8), (64, 200)] {
        for (name, address) in [("direct", engine.address), ("router", http)] {
            let load = Load {
                address,
                callers: callers_count,
                tokens,
            };
            let done = callers.block_on(load.run());
            done.print(name, &load);
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

struct Load {
    address: SocketAddr,
    callers: u64,
    tokens: u64,
}

struct Done {
    micros: Histogram<u64>,
    refused: u64,
    span: Duration,
}

impl Load {
    async fn run(&self) -> Done {
        let start = Instant::now();
        let callers = (0..self.callers).map(|_| tokio::spawn(caller(self.address, self.tokens)));
        let mut micros = Histogram::new(3).unwrap();
        let mut refused = 0;
        for caller in futures_util::future::join_all(callers).await {
            let (times, bad) = caller.unwrap();
            micros.add(&times).unwrap();
            refused += bad;
        }
        Done {
            micros,
            refused,
            span: start.elapsed(),
        }
    }
}

async fn caller(address: SocketAddr, tokens: u64) -> (Histogram<u64>, u64) {
    let client = HttpClient::new();
    let mut body: Value = support::chat_body("boots", tokens, true);
    body["max_tokens"] = json!(tokens);
    let body = Bytes::from(body.to_string());
    let headers = [
        ("authorization", "Bearer desk-key"),
        ("content-type", "application/json"),
    ];
    let mut times = Histogram::new(3).unwrap();
    let mut bad = 0;
    let start = Instant::now();
    while start.elapsed() < SPAN {
        let sent = Instant::now();
        let answer =
            support::send(&client, address, Method::POST, PATH, &headers, body.clone()).await;
        times.record(sent.elapsed().as_micros() as u64).unwrap();
        bad += u64::from(answer.status != StatusCode::OK || !answer.is_complete());
    }
    (times, bad)
}

impl Done {
    fn print(&self, name: &str, load: &Load) {
        let chats = self.micros.len() as f64 / self.span.as_secs_f64();
        println!(
            "{name} | {} | {} | {chats:.0} | {:.0} | {:.3} | {:.3}{}",
            load.callers,
            load.tokens,
            chats * load.tokens as f64,
            self.micros.value_at_quantile(0.5) as f64 / 1e3,
            self.micros.value_at_quantile(0.99) as f64 / 1e3,
            match self.refused {
                0 => String::new(),
                count => format!(" | {count} refused"),
            },
        );
    }
}
