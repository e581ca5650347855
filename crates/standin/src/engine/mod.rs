//! The stand-in model engine.

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
use crate::settings::Settings;
use crate::stats::Stats;
use crate::text;

use order::State;
use run::Run;
use run::Runs;

/// Output limit of a request that names none.
const DEFAULT_TOKENS: u64 = 1_024;

/// A stand-in model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    runs: Arc<Runs>,
    state: Mutex<State>,
    delay: u64,
    queue: u64,
    unnamed: AtomicU64,
}

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

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Deserialize)]
struct Named {
    request_id: String,
    #[serde(default)]
    offset: u64,
}

#[derive(Debug, Serialize)]
struct Cancelled {
    produced: u64,
    prompt: u64,
}

impl Engine {
    /// An idle engine.
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
            unnamed: AtomicU64::new(0),
        }
    }

    /// Starts a chat; the answer follows it. The faults are those in force when it came.
    pub async fn chat(
        &self,
        id: Option<Arc<str>>,
        body: &[u8],
        live: &Arc<Mutex<Faults>>,
    ) -> Response<Body> {
        let Ok(chat) = serde_json::from_slice::<Chat>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        if !self.has(&chat.model) {
            return error(StatusCode::NOT_FOUND, "unknown_model");
        }
        let faults = live.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if faults.refuse || self.runs.waiting() >= self.queue {
            return error(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
        }
        let run = Arc::new(self.prepare(id, &chat, &faults));
        self.runs.keep(run.clone());
        self.start(run.clone(), live.clone());
        let shown = shown(&run.id, &faults);
        match chat.stream {
            true => stream::events(run, shown, 0, faults),
            false => stream::whole(run, shown, faults).await,
        }
    }

    /// Streams the rest of a request from an offset on.
    pub fn resume(&self, body: &[u8]) -> Response<Body> {
        let Ok(named) = serde_json::from_slice::<Named>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        let found = self.runs.find(&named.request_id);
        match found.filter(|run| !run.progress().cancelled) {
            Some(run) => {
                stream::events(run.clone(), run.id.clone(), named.offset, Faults::default())
            }
            None => error(StatusCode::NOT_FOUND, "unknown_request"),
        }
    }

    /// Stops a request and says what it produced.
    pub fn cancel(&self, body: &[u8]) -> Response<Body> {
        let Ok(named) = serde_json::from_slice::<Named>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        let Some(run) = self.runs.find(&named.request_id) else {
            return error(StatusCode::NOT_FOUND, "unknown_request");
        };
        let cancelled = Cancelled {
            produced: run.cancel(),
            prompt: run.prompt,
        };
        json(StatusCode::OK, &cancelled)
    }

    /// Obeys or refuses an order.
    pub fn order(&self, body: &[u8], unfenced: bool) -> Response<Body> {
        self.with(|state| state.obey(body, unfenced))
    }

    /// What is loaded, for an order giver that reads it back.
    pub fn loaded(&self) -> Response<Body> {
        self.with(|state| json(StatusCode::OK, state))
    }

    /// Models for an announcement.
    pub fn models(&self) -> Vec<Loaded> {
        self.with(|state| state.models.clone())
    }

    /// Load for an announcement.
    pub fn load(&self) -> Load {
        Load {
            running: self.runs.running() as u32,
            waiting: self.runs.waiting() as u32,
            cache: 0,
        }
    }

    /// Adds the counts to the statistics.
    pub fn count(&self, stats: &mut Stats) {
        self.runs.count(stats);
        stats.orders = self.with(|state| state.log.clone());
    }

    fn prepare(&self, id: Option<Arc<str>>, chat: &Chat, faults: &Faults) -> Run {
        let id = id.unwrap_or_else(|| {
            let number = self.unnamed.fetch_add(1, Ordering::Relaxed);
            format!("unnamed-{number}").into()
        });
        let last = chat.messages.last().map_or("", |last| &last.content);
        let last = if faults.swap { "another caller" } else { last };
        let limit = chat.max_tokens.or(chat.max_completion_tokens);
        let (tokens, short) = text::answer(last, limit.unwrap_or(DEFAULT_TOKENS));
        let prompt = chat.messages.iter().map(|one| text::count(&one.content));
        Run::new(id, tokens, short, prompt.sum())
    }

    fn start(&self, run: Arc<Run>, live: Arc<Mutex<Faults>>) {
        let runs = self.runs.clone();
        let delay = self.delay;
        tokio::spawn(async move {
            let pause = || {
                let slow = live.lock().unwrap_or_else(PoisonError::into_inner).slow;
                Duration::from_millis(delay + slow)
            };
            runs.drive(run, pause).await;
        });
    }

    fn has(&self, model: &str) -> bool {
        self.with(|state| state.models.iter().any(|one| one.model.as_str() == model))
    }

    fn with<T>(&self, view: impl FnOnce(&mut State) -> T) -> T {
        view(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn shown(id: &Arc<str>, faults: &Faults) -> Arc<str> {
    match faults.swap {
        true => format!("{id}-swapped").into(),
        false => id.clone(),
    }
}
