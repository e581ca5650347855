//! HTTP client of the tests: sends chat requests and service calls, and parses the answers.

use std::net::SocketAddr;

use bytes::Bytes;
use chestnutnotch_standin::text;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::MAX_WAIT;

/// Client that sends requests to any router or stand-in.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// Chat request to a router.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    router: SocketAddr,
    workspace: String,
    key: Option<String>,
    model: String,
    prompt: String,
    max_tokens: u64,
    stream: bool,
    // Receives a message for each part of a streamed answer.
    progress: Option<mpsc::UnboundedSender<()>>,
}

/// Answer to a chat request, or refusal.
#[derive(Clone, Debug, Default)]
pub struct ChatAnswer {
    /// HTTP status; zero if no answer arrived.
    pub status: u16,
    /// Idempotency key in the headers of the answer.
    pub key: String,
    /// Id of the answer.
    pub id: String,
    /// Generated text.
    pub text: String,
    /// Finish reason; empty if there was none.
    pub finish_reason: String,
    /// Number of prompt tokens and of generated tokens.
    pub usage: Option<(u64, u64)>,
    /// Whether the stream ended with `[DONE]` without an error, or the JSON answer was complete. The
    /// end of the connection alone completes neither.
    pub complete: bool,
    /// Code of a refusal or of an error event.
    pub code: String,
    /// Value of `ran` in a refusal, which says whether the request ran.
    pub ran: String,
    /// Whether the answer has the header `retry-after`.
    pub retry_after: bool,
}

/// Answer to any other request.
#[derive(Clone, Debug, Default)]
pub struct CallAnswer {
    /// HTTP status; zero if no answer arrived.
    pub status: u16,
    /// Body as JSON; null if it is not JSON.
    pub body: Value,
    /// Whether the answer has the header `retry-after`.
    pub retry_after: bool,
}

impl CallAnswer {
    /// Returns the code of a refusal; empty if there is none.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Returns the value of `ran` in a refusal, which says whether the request ran.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }
}

impl ChatAnswer {
    /// Returns whether this is the complete answer to the prompt, and not that of another request.
    pub fn is_answer_to(&self, prompt: &str, max_tokens: u64) -> bool {
        let (tokens, limited) = text::answer(prompt, max_tokens);
        let reason = if limited { "length" } else { "stop" };
        self.status == 200
            && self.complete
            && self.text == tokens.concat()
            && self.finish_reason == reason
            && self.usage.map(|(_, generated)| generated) == Some(tokens.len() as u64)
    }
}

impl ChatRequest {
    /// Returns a request for a JSON answer, without an idempotency key.
    pub fn new(router: SocketAddr, workspace: &str, model: &str, prompt: &str) -> Self {
        Self {
            router,
            workspace: workspace.to_owned(),
            key: None,
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens: 200,
            stream: false,
            progress: None,
        }
    }

    /// Sets the idempotency key.
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the maximum number of generated tokens.
    pub fn max_tokens(mut self, max_tokens: u64) -> Self {
        self.max_tokens = max_tokens;
        self
    }

    /// Asks for a streamed answer.
    pub fn stream(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Sends a message whenever a part of the streamed answer arrives.
    pub fn progress(mut self, progress: mpsc::UnboundedSender<()>) -> Self {
        self.progress = Some(progress);
        self
    }

    /// Sets the router that gets the request.
    pub fn router(mut self, router: SocketAddr) -> Self {
        self.router = router;
        self
    }

    fn to_http(&self) -> Request<Full<Bytes>> {
        let body = json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        });
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/chat/completions", self.router))
            .header(
                "authorization",
                format!("Bearer kar-yolu-{}", self.workspace),
            )
            .header("content-type", "application/json");
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(body.to_string().into())).unwrap()
    }
}

impl Client {
    pub fn new() -> Self {
        Self {
            pool: Pool::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a chat request and reads the whole answer.
    pub async fn chat(&self, request: &ChatRequest) -> ChatAnswer {
        match tokio::time::timeout(MAX_WAIT, self.pool.request(request.to_http())).await {
            Ok(Ok(answer)) if answer.status() == 200 && request.stream => {
                read_events(answer, request).await
            }
            Ok(Ok(answer)) => read_json(answer).await,
            _ => ChatAnswer::default(),
        }
    }

    /// Sends any other request and reads the whole answer.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> CallAnswer {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let Ok(Ok(answer)) = tokio::time::timeout(MAX_WAIT, self.pool.request(request)).await
        else {
            return CallAnswer::default();
        };
        let status = answer.status().as_u16();
        let retry_after = answer.headers().contains_key("retry-after");
        let bytes = answer.into_body().collect().await;
        let bytes = bytes.map(|all| all.to_bytes()).unwrap_or_default();
        CallAnswer {
            status,
            body: serde_json::from_slice(&bytes).unwrap_or_default(),
            retry_after,
        }
    }

    /// Sends `GET` without a bearer key.
    pub async fn get(&self, address: SocketAddr, path: &str) -> CallAnswer {
        self.call(Method::GET, address, path, &[], "").await
    }
}

/// Returns an answer that holds only the status and the values of the headers.
fn parse_headers(answer: &Response<Incoming>) -> ChatAnswer {
    let key = answer.headers().get("idempotency-key");
    ChatAnswer {
        status: answer.status().as_u16(),
        key: key
            .and_then(|key| key.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        retry_after: answer.headers().contains_key("retry-after"),
        ..ChatAnswer::default()
    }
}

/// Returns whether a length or chunks tell where the body ends, and not only its connection.
fn is_framed(answer: &Response<Incoming>) -> bool {
    let headers = answer.headers();
    headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

/// Reads a JSON answer.
async fn read_json(answer: Response<Incoming>) -> ChatAnswer {
    let mut chat = parse_headers(&answer);
    let framed = is_framed(&answer);
    let Ok(body) = answer.into_body().collect().await else {
        return chat;
    };
    let Ok(value) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return chat;
    };
    chat.merge(&value, "message");
    chat.complete = framed && !chat.finish_reason.is_empty();
    chat
}

/// Reads a stream of server-sent events.
async fn read_events(answer: Response<Incoming>, request: &ChatRequest) -> ChatAnswer {
    let mut chat = parse_headers(&answer);
    let framed = is_framed(&answer);
    let mut body = answer.into_body();
    let mut text = Vec::new();
    let ended = loop {
        let frame = match tokio::time::timeout(MAX_WAIT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break true,
            Ok(Some(Err(_))) | Err(_) => break false,
        };
        if let Some(progress) = &request.progress {
            let _ = progress.send(());
        }
        text.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
    };
    for event in String::from_utf8_lossy(&text).split("\n\n") {
        let data: String = event
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .collect();
        if data == "[DONE]" {
            chat.complete = framed && ended && chat.code.is_empty();
        } else if let Ok(value) = serde_json::from_str::<Value>(&data) {
            chat.merge(&value, "delta");
        }
    }
    chat
}

impl ChatAnswer {
    /// Adds the contents of a JSON answer or event. `part` names the member that holds the text.
    fn merge(&mut self, value: &Value, part: &str) {
        let set = |field: &mut String, value: &Value| {
            if let Some(text) = value.as_str() {
                *field = text.to_owned();
            }
        };
        let choice = &value["choices"][0];
        self.text
            .push_str(choice[part]["content"].as_str().unwrap_or_default());
        set(&mut self.finish_reason, &choice["finish_reason"]);
        set(&mut self.id, &value["id"]);
        set(&mut self.code, &value["error"]["code"]);
        set(&mut self.ran, &value["error"]["ran"]);
        let usage = &value["usage"];
        if let (Some(prompt), Some(generated)) = (
            usage["prompt_tokens"].as_u64(),
            usage["completion_tokens"].as_u64(),
        ) {
            self.usage = Some((prompt, generated));
        }
    }
}
