//! A caller: sends chats and calls, and takes the answers apart.

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

use super::PATIENCE;

/// Sends requests to any address.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// One chat to send.
#[derive(Clone, Debug)]
pub struct Ask {
    router: SocketAddr,
    workspace: String,
    key: Option<String>,
    model: String,
    prompt: String,
    most: u64,
    stream: bool,
    told: Option<mpsc::UnboundedSender<()>>,
}

/// What came back for a chat.
#[derive(Clone, Debug, Default)]
pub struct Chat {
    /// HTTP status; zero if there was no answer at all.
    pub status: u16,
    /// Idempotency key that the router names.
    pub key: String,
    /// Id in the answer.
    pub id: String,
    /// The text.
    pub text: String,
    /// Reason of the end, empty if there was none.
    pub finish: String,
    /// Prompt and generated tokens.
    pub usage: Option<(u64, u64)>,
    /// A stream ended with `[DONE]`, or a JSON answer was whole.
    pub whole: bool,
    /// Code of a refusal or of an error event.
    pub code: String,
    /// Whether a refusal says that the request ran.
    pub ran: String,
    /// Whether a refusal names a time to wait.
    pub wait: bool,
}

/// What came back for any other call.
#[derive(Clone, Debug, Default)]
pub struct Plain {
    /// HTTP status; zero if there was no answer at all.
    pub status: u16,
    /// Body as JSON, or null.
    pub body: Value,
    /// Whether it names a time to wait.
    pub wait: bool,
}

impl Plain {
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }
}

impl Chat {
    /// Whether it is the whole answer to this prompt, and nobody else's.
    pub fn answers(&self, prompt: &str, most: u64) -> bool {
        let (tokens, short) = text::answer(prompt, most);
        let finish = if short { "length" } else { "stop" };
        self.status == 200
            && self.whole
            && self.text == tokens.concat()
            && self.finish == finish
            && self.usage.map(|(_, generated)| generated) == Some(tokens.len() as u64)
    }
}

impl Ask {
    pub fn new(router: SocketAddr, workspace: &str, model: &str, prompt: &str) -> Self {
        Self {
            router,
            workspace: workspace.to_owned(),
            key: None,
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            most: 200,
            stream: false,
            told: None,
        }
    }

    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    pub fn most(mut self, most: u64) -> Self {
        self.most = most;
        self
    }

    pub fn stream(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Says so whenever a part of the answer arrives.
    pub fn told(mut self, told: mpsc::UnboundedSender<()>) -> Self {
        self.told = Some(told);
        self
    }

    pub fn router(mut self, router: SocketAddr) -> Self {
        self.router = router;
        self
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let body = json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.most,
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

    /// Sends a chat and reads all of the answer.
    pub async fn chat(&self, ask: &Ask) -> Chat {
        match tokio::time::timeout(PATIENCE, self.pool.request(ask.request())).await {
            Ok(Ok(answer)) if answer.status() == 200 && ask.stream => events(answer, ask).await,
            Ok(Ok(answer)) => value(answer).await,
            _ => Chat::default(),
        }
    }

    /// Sends any other call.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Plain {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let Ok(Ok(answer)) = tokio::time::timeout(PATIENCE, self.pool.request(request)).await
        else {
            return Plain::default();
        };
        let status = answer.status().as_u16();
        let wait = answer.headers().contains_key("retry-after");
        let bytes = answer.into_body().collect().await;
        let bytes = bytes.map(|all| all.to_bytes()).unwrap_or_default();
        Plain {
            status,
            body: serde_json::from_slice(&bytes).unwrap_or_default(),
            wait,
        }
    }

    /// `GET` without a key.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Plain {
        self.call(Method::GET, address, path, &[], "").await
    }
}

fn head(answer: &Response<Incoming>) -> Chat {
    let named = answer.headers().get("idempotency-key");
    Chat {
        status: answer.status().as_u16(),
        key: named
            .and_then(|key| key.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        wait: answer.headers().contains_key("retry-after"),
        ..Chat::default()
    }
}

async fn value(answer: Response<Incoming>) -> Chat {
    let mut chat = head(&answer);
    let Ok(body) = answer.into_body().collect().await else {
        return chat;
    };
    let Ok(value) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return chat;
    };
    chat.take(&value, "message");
    chat.whole = !chat.finish.is_empty();
    chat
}

async fn events(answer: Response<Incoming>, ask: &Ask) -> Chat {
    let mut chat = head(&answer);
    let mut body = answer.into_body();
    let mut text = Vec::new();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(PATIENCE, body.frame()).await {
        if let Some(told) = &ask.told {
            let _ = told.send(());
        }
        text.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
    }
    for event in String::from_utf8_lossy(&text).split("\n\n") {
        let data: String = event
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .collect();
        if data == "[DONE]" {
            chat.whole = chat.code.is_empty();
        } else if let Ok(value) = serde_json::from_str::<Value>(&data) {
            chat.take(&value, "delta");
        }
    }
    chat
}

impl Chat {
    fn take(&mut self, value: &Value, part: &str) {
        let set = |field: &mut String, value: &Value| {
            if let Some(text) = value.as_str() {
                *field = text.to_owned();
            }
        };
        let choice = &value["choices"][0];
        self.text
            .push_str(choice[part]["content"].as_str().unwrap_or_default());
        set(&mut self.finish, &choice["finish_reason"]);
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
