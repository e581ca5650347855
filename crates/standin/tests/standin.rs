//! Properties of the stand-ins that the tests of the fleet rely on.

#![allow(clippy::panic, clippy::unwrap_used)]

use std::net::SocketAddr;

use bytes::Bytes;
use chestnutnotch_standin::ExitReason;
use chestnutnotch_standin::Faults;
use chestnutnotch_standin::Settings;
use chestnutnotch_standin::Standin;
use chestnutnotch_standin::Stats;
use chestnutnotch_standin::text;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A stand-in that runs in a task.
struct Running {
    address: SocketAddr,
    /// Starts a planned stop.
    stop: Option<oneshot::Sender<()>>,
    /// Task of the stand-in, which returns why it ended.
    task: JoinHandle<ExitReason>,
}

impl Running {
    /// Starts a stand-in with these settings in addition to the required ones.
    async fn start(extra: Value) -> Self {
        let mut settings =
            json!({"name": "a", "listen": "127.0.0.1:0", "centre": "c", "linger": 0});
        let fields = settings.as_object_mut().unwrap();
        fields.extend(extra.as_object().unwrap().clone());
        let settings: Settings = serde_json::from_value(settings).unwrap();
        let standin = Standin::bind(settings).await.unwrap();
        let address = standin.address();
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(standin.run(async move {
            let _ = stopped.await;
        }));
        Self {
            address,
            stop: Some(stop),
            task,
        }
    }

    /// Sends a request with this request id and idempotency key. Returns the status and body of the
    /// answer; no body if the connection is closed within it, and nothing if it is closed before.
    async fn post(&self, path: &str, id: &str, body: Value) -> Option<(u16, Option<String>)> {
        let request = hyper::Request::post(format!("http://{}{path}", self.address))
            .header("x-request-id", id)
            .header("idempotency-key", id)
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        let answer = client.request(request).await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok();
        let text = body.map(|all| String::from_utf8(all.to_bytes().to_vec()).unwrap());
        Some((status, text))
    }

    async fn stats(&self) -> Stats {
        let request = hyper::Request::get(format!("http://{}/stats", self.address))
            .body(Full::new(Bytes::new()))
            .unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        let answer = client.request(request).await.unwrap();
        let body = answer.into_body().collect().await.unwrap();
        serde_json::from_slice(&body.to_bytes()).unwrap()
    }

    /// Replaces the faults.
    async fn set_faults(&self, faults: Faults) {
        let body = serde_json::to_value(faults).unwrap();
        assert_eq!(self.post("/faults", "", body).await.unwrap().0, 200);
    }
}

/// Body of a chat with an output limit of 30 tokens.
fn chat(prompt: &str, stream: bool) -> Value {
    json!({"model": "m", "max_tokens": 30, "stream": stream,
        "messages": [{"role": "user", "content": prompt}]})
}

/// Returns the text of all events of a stream.
fn streamed(events: &str) -> String {
    let values = events
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok());
    values
        .filter_map(|value| {
            value["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}

macro_rules! cases {
    ($($name:ident: $settings:tt => $case:path;)*) => {$(
        #[tokio::test]
        async fn $name() {
            $case(Running::start(json!($settings)).await).await;
        }
    )*};
}

cases! {
    answers_are_a_function_of_the_prompt: {"models": ["m"]} => answers;
    streams_resume_at_an_offset: {"models": ["m"], "faults": {"cut": 5}} => resumes;
    cancel_stops_production: {"models": ["m"], "delay": 20} => cancels;
    old_fences_are_refused: {"models": ["m"]} => orders;
    marked_request_crashes: {"models": ["m"], "faults": {"crash": "poison"}} => crashes;
    keys_are_counted: {"service": "desk", "stock": {"jacket": 2}} => counts;
    stop_finishes_what_runs: {"models": ["m"], "delay": 10} => stops;
}

/// A whole answer and a stream carry the text that the prompt determines.
async fn answers(engine: Running) {
    let expected = text::answer("some words", 30).0.concat();
    let (status, body) = engine
        .post("/v1/chat/completions", "a", chat("some words", false))
        .await
        .unwrap();
    let value: Value = serde_json::from_str(&body.unwrap()).unwrap();
    assert_eq!(status, 200);
    assert_eq!(value["id"], "a");
    assert_eq!(value["choices"][0]["message"]["content"], expected);
    let (_, events) = engine
        .post("/v1/chat/completions", "b", chat("some words", true))
        .await
        .unwrap();
    let events = events.unwrap();
    assert_eq!(streamed(&events), expected);
    assert!(events.ends_with("data: [DONE]\n\n"));
}

/// A stream that is cut after five tokens resumes with the sixth. An unknown request is refused.
async fn resumes(engine: Running) {
    let (_, cut) = engine
        .post("/v1/chat/completions", "a", chat("some words", true))
        .await
        .unwrap();
    assert_eq!(cut, None);
    let rest = json!({"request_id": "a", "offset": 5});
    let (_, rest) = engine.post("/v1/resume", "", rest).await.unwrap();
    let expected = text::answer("some words", 30).0[5..].concat();
    assert_eq!(streamed(&rest.unwrap()), expected);
    let other = json!({"request_id": "b", "offset": 0});
    assert_eq!(engine.post("/v1/resume", "", other).await.unwrap().0, 404);
}

/// A cancel ends the request and reports the tokens that the statistics count.
async fn cancels(engine: Running) {
    let chat = engine.post("/v1/chat/completions", "a", chat("tokens=30", false));
    let cancel = async {
        loop {
            let body = json!({"request_id": "a"});
            let (status, answer) = engine.post("/v1/cancel", "", body).await.unwrap();
            if status == 200 {
                return serde_json::from_str::<Value>(&answer.unwrap()).unwrap();
            }
        }
    };
    let (answer, cancelled) = tokio::join!(chat, cancel);
    assert_eq!(answer.unwrap().0, 409);
    let stats = engine.stats().await;
    assert_eq!(cancelled["produced"], stats.produced);
    assert_eq!(cancelled["prompt"], stats.prompt);
    assert!(stats.produced < 30);
}

/// An order with an old fencing number is refused, except under the fault that ignores it.
async fn orders(engine: Running) {
    let order = |fence: u64| json!({"fence": fence, "load": {"model": "n"}});
    assert_eq!(engine.post("/v1/order", "", order(5)).await.unwrap().0, 200);
    assert_eq!(engine.post("/v1/order", "", order(4)).await.unwrap().0, 409);
    engine
        .set_faults(Faults {
            unfenced: true,
            ..Faults::default()
        })
        .await;
    assert_eq!(engine.post("/v1/order", "", order(4)).await.unwrap().0, 200);
    assert_eq!(engine.stats().await.orders, [5, 4]);
}

/// A request with the word of the crash fault ends the stand-in without an answer.
async fn crashes(engine: Running) {
    assert_eq!(
        engine
            .post("/v1/chat/completions", "a", chat("poison", false))
            .await,
        None
    );
    assert_eq!(engine.task.await.unwrap(), ExitReason::Crashed);
}

/// A plain service counts each call by its idempotency key, also refused and cut ones.
async fn counts(service: Running) {
    let jacket = || json!({"garment": "jacket"});
    for expected in [200, 200, 409] {
        assert_eq!(
            service.post("/reserve", "k", jacket()).await.unwrap().0,
            expected
        );
    }
    assert_eq!(
        service.post("/release", "l", jacket()).await.unwrap().0,
        200
    );
    service
        .set_faults(Faults {
            cut: Some(0),
            ..Faults::default()
        })
        .await;
    assert_eq!(service.post("/reserve", "m", jacket()).await, None);
    let stats = service.stats().await;
    let keys: Vec<u64> = stats.keys.values().copied().collect();
    assert_eq!((keys, stats.requests), (vec![3, 1, 1], 5));
}

/// A planned stop lets a running stream end.
async fn stops(mut engine: Running) {
    let stop = engine.stop.take().unwrap();
    let stopping = async {
        while engine.stats().await.running == 0 {}
        stop.send(()).unwrap();
    };
    let (answer, ()) = tokio::join!(
        engine.post("/v1/chat/completions", "a", chat("tokens=30", true)),
        stopping,
    );
    let events = answer.unwrap().1.unwrap();
    assert_eq!(streamed(&events), text::answer("tokens=30", 30).0.concat());
    assert_eq!(engine.task.await.unwrap(), ExitReason::Stopped);
}
