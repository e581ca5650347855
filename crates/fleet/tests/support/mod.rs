//! A router with stand-in upstreams and a control process that answers out of memory.
#![allow(clippy::panic, clippy::unwrap_used)]
#![allow(dead_code)]

pub mod control;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch::edges::http::HttpClient;
use chestnutnotch::edges::http::client::Call;
use chestnutnotch::router::Router;
use chestnutnotch::settings::Settings;
use chestnutnotch::timer::Timer;
use chestnutnotch_standin::Faults;
use chestnutnotch_standin::Standin;
use chestnutnotch_standin::Stats;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use control::Control;

/// Bearer key of the workspace.
pub const KEY: &str = "desk-key";
/// Longest wait for anything.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// A stand-in that runs in a task.
pub struct Upstream {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
}

/// One router with what it needs.
pub struct Bench {
    pub control: Control,
    pub router: Option<Router>,
    pub http: SocketAddr,
    pub client: HttpClient,
    pub upstreams: Vec<Upstream>,
}

/// An answer read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap().to_owned()
    }

    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap().to_owned()
    }

    pub fn key(&self) -> String {
        self.headers["idempotency-key"].to_str().unwrap().to_owned()
    }

    /// Text of an answer in JSON.
    pub fn text(&self) -> String {
        let json = self.json();
        let text = &json["choices"][0]["message"]["content"];
        text.as_str().unwrap().to_owned()
    }

    /// Text of a streamed answer.
    pub fn streamed(&self) -> String {
        let events = self.events();
        let content = |event: &Value| event["choices"][0]["delta"]["content"].clone();
        let all = events.iter().map(content);
        all.filter_map(|text| text.as_str().map(str::to_owned))
            .collect()
    }

    /// Events of a streamed answer, without the last mark.
    pub fn events(&self) -> Vec<Value> {
        let text = std::str::from_utf8(&self.body).unwrap();
        let data = text.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
        data.filter(|data| *data != "[DONE]")
            .map(|data| serde_json::from_str(data).unwrap())
            .collect()
    }

    pub fn is_whole(&self) -> bool {
        self.body.ends_with(b"data: [DONE]\n\n")
    }
}

impl Bench {
    /// A serving router and its control; no upstreams yet.
    pub async fn new(prepaid: u64) -> Self {
        Self::with(Control::start(prepaid).await).await
    }

    /// Two routers that are peers, with a control each; no upstreams yet.
    pub async fn pair(prepaid: u64) -> (Self, Self) {
        let rpc = [free_address().await, free_address().await];
        let mut pair = Vec::new();
        for (name, own) in ["entry-1", "entry-2"].iter().zip(&rpc) {
            let control = Control::start(prepaid).await;
            let settings = settings(name, control.address, own, &rpc);
            pair.push(Self::start(control, settings).await);
        }
        let second = pair.pop().unwrap();
        (pair.pop().unwrap(), second)
    }

    async fn start(control: Control, settings: Settings) -> Self {
        let router = Router::start(settings, Timer::new()).await.unwrap();
        let http = router.http();
        tokio::time::timeout(PATIENCE, router.ready())
            .await
            .unwrap();
        Self {
            control,
            router: Some(router),
            http,
            client: HttpClient::new(),
            upstreams: Vec::new(),
        }
    }

    /// A router with this control, whose address for other routers nobody knows.
    pub async fn with(control: Control) -> Self {
        let settings = settings("entry-1", control.address, "127.0.0.1:0", &[]);
        Self::start(control, settings).await
    }

    /// Adds an upstream and waits until the router knows it.
    pub async fn add(&mut self, kind: Value, faults: Faults) -> SocketAddr {
        let name = format!("upstream-{}", self.upstreams.len());
        let upstream = standin(self.http, &name, kind, faults).await;
        let address = upstream.address;
        self.upstreams.push(upstream);
        until_known(self.http, &name).await;
        address
    }

    /// Adds an engine.
    pub async fn engine(&mut self, delay: u64, faults: Faults) -> SocketAddr {
        let kind = json!({"models": ["fitting"], "delay": delay});
        self.add(kind, faults).await
    }

    /// Adds a worker of the plain service.
    pub async fn desk(&mut self, faults: Faults) -> SocketAddr {
        self.add(json!({"service": "desk"}), faults).await
    }

    /// Tells an upstream to stop.
    pub fn leave(&mut self, index: usize) {
        let stop = self.upstreams[index].stop.take().unwrap();
        let _ = stop.send(());
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a request with the workspace's key.
    pub async fn ask(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
        let bearer = format!("Bearer {KEY}");
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        let body = Bytes::from(body.to_string());
        self.send(Method::POST, path, &all, body).await
    }

    pub async fn chat(&self, headers: &[(&str, &str)], body: &Value) -> Answer {
        self.ask("/v1/chat/completions", headers, body).await
    }

    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Answer {
        send(&self.client, self.http, method, path, headers, body).await
    }

    /// What an upstream counted.
    pub async fn stats(&self, index: usize) -> Stats {
        let address = self.upstreams[index].address;
        let none = Bytes::new();
        let answer = send(&self.client, address, Method::GET, "/stats", &[], none).await;
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Replaces the faults of an upstream.
    pub async fn faults(&self, index: usize, faults: &Faults) {
        let address = self.upstreams[index].address;
        let body = Bytes::from(serde_json::to_vec(faults).unwrap());
        send(&self.client, address, Method::POST, "/faults", &[], body).await;
    }

    /// Ends an upstream whose crash word is `word`.
    pub async fn crash(&self, index: usize, word: &str) {
        let call = Call {
            address: self.upstreams[index].address,
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::from(chat(word, 1, true).to_string()),
        };
        assert!(self.client.send(call, PATIENCE).await.is_err());
    }

    /// A counter out of the metrics.
    pub async fn count(&self, name: &str, result: &str) -> u64 {
        let text = self.get("/metrics").await.body;
        let text = std::str::from_utf8(&text).unwrap().to_owned();
        let start = format!("chestnutnotch_{name}_total{{result=\"{result}\"}} ");
        let found = text.lines().find_map(|line| line.strip_prefix(&start));
        found.map_or(0, |count| count.parse().unwrap())
    }
}

pub async fn send(
    client: &HttpClient,
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Answer {
    let mut all = HeaderMap::new();
    for (name, value) in headers {
        let name = http::HeaderName::from_bytes(name.as_bytes()).unwrap();
        all.insert(name, value.parse().unwrap());
    }
    let call = Call {
        address,
        method,
        path: path.to_owned(),
        headers: all,
        body,
    };
    let response = client.send(call, PATIENCE).await.unwrap();
    let (head, body) = response.into_parts();
    let body = tokio::time::timeout(PATIENCE, body.collect())
        .await
        .unwrap();
    Answer {
        status: head.status,
        headers: head.headers,
        body: body.unwrap().to_bytes(),
    }
}

/// Starts a stand-in that announces itself to a router.
pub async fn standin(router: SocketAddr, name: &str, kind: Value, faults: Faults) -> Upstream {
    let mut settings = json!({
        "name": name,
        "listen": "127.0.0.1:0",
        "centre": "north",
        "routers": [router],
        "announce": 100,
        "linger": 100,
        "faults": faults,
    });
    let extra = kind.as_object().unwrap().clone();
    settings.as_object_mut().unwrap().extend(extra);
    let settings = serde_json::from_value(settings).unwrap();
    let standin = Standin::bind(settings).await.unwrap();
    let address = standin.address();
    let (stop, stopped) = oneshot::channel();
    tokio::spawn(standin.run(async move {
        let _ = stopped.await;
    }));
    Upstream {
        address,
        stop: Some(stop),
    }
}

/// Waits until a router knows an upstream.
pub async fn until_known(router: SocketAddr, name: &str) {
    let client = HttpClient::new();
    until(async || {
        let none = Bytes::new();
        let answer = send(&client, router, Method::GET, "/status", &[], none).await;
        let rows = answer.json()["upstreams"].as_array().unwrap().clone();
        rows.iter().any(|row| row["upstream"] == name)
    })
    .await;
}

/// Waits until a condition holds.
pub async fn until(mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.unwrap();
}

/// A chat whose answer has `tokens` tokens.
pub fn chat(word: &str, tokens: u64, stream: bool) -> Value {
    json!({
        "model": "fitting",
        "stream": stream,
        "messages": [{"role": "user", "content": format!("{word} tokens={tokens}")}],
    })
}

/// The text of the answer to [`chat`].
pub fn expected(word: &str, tokens: u64) -> String {
    let prompt = format!("{word} tokens={tokens}");
    chestnutnotch_standin::text::answer(&prompt, 1_024)
        .0
        .concat()
}

fn settings(name: &str, control: SocketAddr, rpc: &str, peers: &[String]) -> Settings {
    serde_json::from_value(json!({
        "host": {"name": name, "centre": "north"},
        "control": [control],
        "router": {
            "listen": "127.0.0.1:0",
            "rpc": rpc,
            "peers": peers,
            "body": 65_536,
            "draw": 50,
            "drain": 8_000,
        },
    }))
    .unwrap()
}

/// A loopback address that nobody listened on a moment ago.
async fn free_address() -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().to_string()
}
