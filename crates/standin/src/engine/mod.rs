//! The stand-in model engine: chats, resumed and cancelled requests, and orders.

mod order;
mod run;
mod stream;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch_core::upstream::Load;
use chestnutnotch_core::upstream::announce::Loaded;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::faults::Faults;
use crate::http::Body;
use crate::http::error;
use crate::http::json;
use crate::http::overloaded;
use crate::settings::Settings;
use crate::stats::Stats;
use crate::text;

use order::State;
use run::Run;
use run::Runs;

/// Output limit of a request that sets none.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;

/// A stand-in model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Requests that run, wait or have ended.
    runs: Arc<Runs>,
    /// What is loaded.
    state: Mutex<State>,
    /// Time for each token, in milliseconds.
    delay: u64,
    /// Number of requests that may wait for a slot.
    queue: u64,
    /// Number of requests that came without an id, from which their ids are made.
    unnamed_count: AtomicU64,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// A message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// Body of `POST /v1/resume` and `POST /v1/cancel`.
#[derive(Debug, Deserialize)]
struct RequestRef {
    request_id: String,
    /// First token to send; only for a resume.
    #[serde(default)]
    offset: u64,
}

/// Answer to `POST /v1/cancel`.
#[derive(Debug, Serialize)]
struct Cancelled {
    /// Tokens produced before the cancel.
    produced: u64,
    /// Prompt tokens.
    prompt: u64,
}

impl Engine {
    /// Creates an engine without requests.
    pub fn new(settings: &Settings) -> Self {
        let load = |model: &chestnutnotch_core::id::Model| Loaded {
            model: model.clone(),
            adapter: None,
            version: 0,
        };
        let state = State {
            models: settings.models.iter().map(load).collect(),
            ..State::default()
        };
        Self {
            runs: Arc::new(Runs::new(settings.slots)),
            state: Mutex::new(state),
            delay: settings.delay,
            queue: settings.queue.into(),
            unnamed_count: AtomicU64::new(0),
        }
    }

    /// Starts a chat and returns its answer. The faults are those that are on when it arrives,
    /// except for the pace, which follows `shared_faults`.
    pub async fn chat(
        &self,
        id: Option<Arc<str>>,
        body: &[u8],
        shared_faults: &Arc<Mutex<Faults>>,
    ) -> Response<Body> {
        let Ok(chat) = serde_json::from_slice::<Chat>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        if !self.has_model(&chat.model) {
            return error(StatusCode::NOT_FOUND, "unknown_model");
        }
        let faults = shared_faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if faults.refuse || self.runs.waiting() >= self.queue {
            return overloaded(&faults);
        }
        let run = Arc::new(self.prepare(id, &chat, &faults));
        self.runs.retain(run.clone());
        self.start(run.clone(), shared_faults.clone());
        let reported_id = reported_id(&run.id, &faults);
        if let Some(status) = faults.status {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            return error(status, "failed");
        }
        match chat.stream {
            true => stream::events(run, reported_id, 0, faults),
            false => stream::complete(run, reported_id, faults).await,
        }
    }

    /// Streams the answer of an earlier request from a token offset on, or from its first token if
    /// `from_start` is set.
    pub fn resume(&self, body: &[u8], from_start: bool) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<RequestRef>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        let found = self.runs.find(&request.request_id);
        match found.filter(|run| !run.progress().cancelled) {
            Some(run) => stream::events(
                run.clone(),
                run.id.clone(),
                if from_start { 0 } else { request.offset },
                Faults::default(),
            ),
            None => error(StatusCode::NOT_FOUND, "unknown_request"),
        }
    }

    /// Cancels a request and reports how many tokens it produced.
    pub fn cancel(&self, body: &[u8]) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<RequestRef>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        let Some(run) = self.runs.find(&request.request_id) else {
            return error(StatusCode::NOT_FOUND, "unknown_request");
        };
        let cancelled = Cancelled {
            produced: run.cancel(),
            prompt: run.prompt,
        };
        json(StatusCode::OK, &cancelled)
    }

    /// Executes or refuses an order. `unfenced` accepts old fencing numbers.
    pub fn order(&self, body: &[u8], unfenced: bool) -> Response<Body> {
        self.with_state(|state| state.execute(body, unfenced))
    }

    /// Reports what is loaded, for the sender of orders to check.
    pub fn loaded(&self) -> Response<Body> {
        self.with_state(|state| json(StatusCode::OK, state))
    }

    /// Returns the loaded models, for an announcement.
    pub fn models(&self) -> Vec<Loaded> {
        self.with_state(|state| state.models.clone())
    }

    /// Returns the current load, for an announcement.
    pub fn load(&self) -> Load {
        Load {
            running: self.runs.running() as u32,
            waiting: self.runs.waiting() as u32,
            cache: 0,
        }
    }

    /// Writes the counts to the statistics.
    pub fn count(&self, stats: &mut Stats) {
        self.runs.count(stats);
        stats.orders = self.with_state(|state| state.log.clone());
    }

    /// Creates the run of a chat, with its whole answer.
    fn prepare(&self, id: Option<Arc<str>>, chat: &Chat, faults: &Faults) -> Run {
        let id = id.unwrap_or_else(|| {
            let number = self.unnamed_count.fetch_add(1, Ordering::Relaxed);
            format!("unnamed-{number}").into()
        });
        let last = chat.messages.last().map_or("", |last| &last.content);
        let last = if faults.swap { "another caller" } else { last };
        let limit = chat.max_tokens.or(chat.max_completion_tokens);
        let (tokens, hit_limit) = text::answer(last, limit.unwrap_or(DEFAULT_OUTPUT_TOKENS));
        let prompt = chat
            .messages
            .iter()
            .map(|one| text::prompt_tokens(&one.content));
        Run::new(id, tokens, hit_limit, prompt.sum())
    }

    /// Runs a request in the background, at the pace of the settings and the faults.
    fn start(&self, run: Arc<Run>, shared_faults: Arc<Mutex<Faults>>) {
        let runs = self.runs.clone();
        let delay = self.delay;
        tokio::spawn(async move {
            let pause = || {
                let slow = shared_faults
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .slow;
                Duration::from_millis(delay + slow)
            };
            runs.run_to_end(run, pause).await;
        });
    }

    /// Whether a model is loaded.
    fn has_model(&self, model: &str) -> bool {
        self.with_state(|state| state.models.iter().any(|one| one.model.as_str() == model))
    }

    /// Calls a function with the locked state.
    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the request id to report in an answer.
fn reported_id(id: &Arc<str>, faults: &Faults) -> Arc<str> {
    match faults.swap {
        true => format!("{id}-swapped").into(),
        false => id.clone(),
    }
}
