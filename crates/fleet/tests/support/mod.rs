//! A router under test, with stand-in upstreams and an in-memory control process.
#![allow(clippy::panic, clippy::unwrap_used)]
#![allow(dead_code)]

pub mod control;

use std::net::Ipv4Addr;
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

/// Bearer key of the only workspace.
pub const WORKSPACE_KEY: &str = "desk-key";
/// Timeout of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in upstream that runs in a task.
pub struct RunningStandin {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
}

/// One router, its control process and its upstreams.
pub struct RouterFixture {
    pub control: Control,
    pub router: Option<Router>,
    pub http: SocketAddr,
    pub client: HttpClient,
    pub upstreams: Vec<RunningStandin>,
}

/// An answer with its complete body.
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

    /// Code of a refusal.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap().to_owned()
    }

    /// Whether the refused request ran, as the refusal says.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap().to_owned()
    }

    pub fn idempotency_key(&self) -> String {
        self.headers["idempotency-key"].to_str().unwrap().to_owned()
    }

    /// Text of a JSON answer.
    pub fn text(&self) -> String {
        let json = self.json();
        let text = &json["choices"][0]["message"]["content"];
        text.as_str().unwrap().to_owned()
    }

    /// Text of a streamed answer.
    pub fn streamed_text(&self) -> String {
        let events = self.events();
        let content = |event: &Value| event["choices"][0]["delta"]["content"].clone();
        let all = events.iter().map(content);
        all.filter_map(|text| text.as_str().map(str::to_owned))
            .collect()
    }

    /// Events of a streamed answer, without the `[DONE]` marker.
    pub fn events(&self) -> Vec<Value> {
        let text = std::str::from_utf8(&self.body).unwrap();
        let data = text.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
        data.filter(|data| *data != "[DONE]")
            .map(|data| serde_json::from_str(data).unwrap())
            .collect()
    }

    /// Whether a streamed answer ends with the `[DONE]` marker.
    pub fn is_complete(&self) -> bool {
        self.body.ends_with(b"data: [DONE]\n\n")
    }
}

impl RouterFixture {
    /// Starts a router and its control process with a budget of `prepaid` tokens; no upstreams yet.
    pub async fn new(prepaid: u64) -> Self {
        Self::with_control(Control::start(prepaid).await).await
    }

    /// Starts two routers that are peers, with a control process each; no upstreams yet.
    pub async fn pair(prepaid: u64) -> (Self, Self) {
        let rpc = [free_address().await, free_address().await];
        let mut fixtures = Vec::new();
        for (name, own_rpc) in ["entry-1", "entry-2"].iter().zip(&rpc) {
            let control = Control::start(prepaid).await;
            let settings = router_settings(name, control.address, own_rpc, &rpc);
            fixtures.push(Self::start(control, settings).await);
        }
        let second = fixtures.pop().unwrap();
        (fixtures.pop().unwrap(), second)
    }

    async fn start(control: Control, settings: Settings) -> Self {
        let router = Router::start(settings, Timer::new()).await.unwrap();
        let http = router.http();
        tokio::time::timeout(TIMEOUT, router.ready()).await.unwrap();
        Self {
            control,
            router: Some(router),
            http,
            client: HttpClient::new(),
            upstreams: Vec::new(),
        }
    }

    /// Starts a router without peers that uses this control process.
    pub async fn with_control(control: Control) -> Self {
        let settings = router_settings("entry-1", control.address, "127.0.0.1:0", &[]);
        Self::start(control, settings).await
    }

    /// Starts an upstream and waits until the router knows it.
    pub async fn add_upstream(&mut self, kind: Value, faults: Faults) -> SocketAddr {
        let name = format!("upstream-{}", self.upstreams.len());
        let upstream = start_standin(self.http, &name, kind, faults).await;
        let address = upstream.address;
        self.upstreams.push(upstream);
        wait_until_known(self.http, &name).await;
        address
    }

    /// Adds an engine that takes `delay` milliseconds per token.
    pub async fn add_engine(&mut self, delay: u64, faults: Faults) -> SocketAddr {
        let kind = json!({"models": ["fitting"], "delay": delay});
        self.add_upstream(kind, faults).await
    }

    /// Adds a worker of the plain service `desk`.
    pub async fn add_worker(&mut self, faults: Faults) -> SocketAddr {
        self.add_upstream(json!({"service": "desk"}), faults).await
    }

    /// Tells an upstream to leave and stop.
    pub fn stop_upstream(&mut self, index: usize) {
        let stop = self.upstreams[index].stop.take().unwrap();
        let _ = stop.send(());
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a `POST` with the bearer key of the workspace.
    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
        let bearer = format!("Bearer {WORKSPACE_KEY}");
        let mut with_bearer = vec![("authorization", bearer.as_str())];
        with_bearer.extend_from_slice(headers);
        let body = Bytes::from(body.to_string());
        self.send(Method::POST, path, &with_bearer, body).await
    }

    pub async fn send_chat(&self, headers: &[(&str, &str)], body: &Value) -> Answer {
        self.post("/v1/chat/completions", headers, body).await
    }

    /// Sends a request and reads the complete answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Answer {
        send(&self.client, self.http, method, path, headers, body).await
    }

    /// Counts of an upstream.
    pub async fn stats(&self, index: usize) -> Stats {
        let address = self.upstreams[index].address;
        let empty = Bytes::new();
        let answer = send(&self.client, address, Method::GET, "/stats", &[], empty).await;
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Replaces the injected faults of an upstream.
    pub async fn set_faults(&self, index: usize, faults: &Faults) {
        let address = self.upstreams[index].address;
        let body = Bytes::from(serde_json::to_vec(faults).unwrap());
        send(&self.client, address, Method::POST, "/faults", &[], body).await;
    }

    /// Crashes an upstream whose crash word is `word`.
    pub async fn crash_upstream(&self, index: usize, word: &str) {
        let call = Call {
            address: self.upstreams[index].address,
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::from(chat_body(word, 1, true).to_string()),
        };
        assert!(self.client.send(call, TIMEOUT).await.is_err());
    }

    /// Value of a counter of the router; 0 if it is missing.
    pub async fn counter(&self, name: &str, result: &str) -> u64 {
        let text = self.get("/metrics").await.body;
        let text = std::str::from_utf8(&text).unwrap().to_owned();
        let prefix = format!("chestnutnotch_{name}_total{{result=\"{result}\"}} ");
        let found = text.lines().find_map(|line| line.strip_prefix(&prefix));
        found.map_or(0, |count| count.parse().unwrap())
    }
}

/// Sends a request and reads the complete answer.
pub async fn send(
    client: &HttpClient,
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Answer {
    let mut header_map = HeaderMap::new();
    for (name, value) in headers {
        let name = http::HeaderName::from_bytes(name.as_bytes()).unwrap();
        header_map.insert(name, value.parse().unwrap());
    }
    let call = Call {
        address,
        method,
        path: path.to_owned(),
        headers: header_map,
        body,
    };
    let response = client.send(call, TIMEOUT).await.unwrap();
    let (head, body) = response.into_parts();
    let is_framed = head.headers.contains_key("content-length")
        || head.headers.contains_key("transfer-encoding");
    assert!(is_framed, "only its connection ends the answer: {head:?}");
    let body = tokio::time::timeout(TIMEOUT, body.collect()).await.unwrap();
    Answer {
        status: head.status,
        headers: head.headers,
        body: body.unwrap().to_bytes(),
    }
}

/// Starts a stand-in that announces itself to a router.
pub async fn start_standin(
    router: SocketAddr,
    name: &str,
    kind: Value,
    faults: Faults,
) -> RunningStandin {
    let mut settings = json!({
        "name": name,
        "listen": "127.0.0.1:0",
        "centre": "north",
        "routers": [router],
        "announce": 100,
        "linger": 100,
        "faults": faults,
    });
    let kind_settings = kind.as_object().unwrap().clone();
    settings.as_object_mut().unwrap().extend(kind_settings);
    let settings = serde_json::from_value(settings).unwrap();
    let standin = Standin::bind(settings).await.unwrap();
    let address = standin.address();
    let (stop, stopped) = oneshot::channel();
    tokio::spawn(standin.run(async move {
        let _ = stopped.await;
    }));
    RunningStandin {
        address,
        stop: Some(stop),
    }
}

/// Waits until a router knows an upstream.
pub async fn wait_until_known(router: SocketAddr, name: &str) {
    let client = HttpClient::new();
    wait_until(async || {
        let empty = Bytes::new();
        let answer = send(&client, router, Method::GET, "/status", &[], empty).await;
        let rows = answer.json()["upstreams"].as_array().unwrap().clone();
        rows.iter().any(|row| row["upstream"] == name)
    })
    .await;
}

/// Polls until the condition holds.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, polling).await.unwrap();
}

/// Body of a chat whose answer has `tokens` tokens.
pub fn chat_body(word: &str, tokens: u64, stream: bool) -> Value {
    json!({
        "model": "fitting",
        "stream": stream,
        "messages": [{"role": "user", "content": format!("{word} tokens={tokens}")}],
    })
}

/// Text of the answer to [`chat_body`].
pub fn expected_text(word: &str, tokens: u64) -> String {
    let prompt = format!("{word} tokens={tokens}");
    chestnutnotch_standin::text::answer(&prompt, 1_024)
        .0
        .concat()
}

fn router_settings(name: &str, control: SocketAddr, rpc: &str, peers: &[String]) -> Settings {
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

/// Returns a loopback address whose port was free a moment ago. Its IP address is that of this process,
/// so that no outgoing connection of another one takes the port in between.
async fn free_address() -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1, high, low);
    let listener = tokio::net::TcpListener::bind((ip, 0)).await.unwrap();
    listener.local_addr().unwrap().to_string()
}
