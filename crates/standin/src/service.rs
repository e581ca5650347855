//! The stand-in plain service: it reserves, releases and lists items of a stock, as a rental desk
//! does.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use chestnutnotch_core::id::Service;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http::Body;
use crate::http::error;
use crate::http::json;
use crate::settings::Settings;
use crate::stats::Stats;

/// Number of each item in stock if the settings list no stock.
const DEFAULT_STOCK: u32 = 1_000;

/// A stand-in plain service.
#[derive(Debug)]
pub(crate) struct PlainService {
    /// Name of the service.
    pub name: Service,
    /// Number of each item in stock; if empty, [`DEFAULT_STOCK`] of every item.
    stock: BTreeMap<Arc<str>, u32>,
    /// What the calls have changed.
    state: Mutex<State>,
}

/// State that calls change.
#[derive(Debug, Default)]
struct State {
    /// Number of each item that is reserved.
    taken: BTreeMap<Arc<str>, u32>,
    /// Number of calls that ran.
    runs: u64,
    /// Number of calls that ran without an idempotency key.
    keyless: u64,
    /// How often each idempotency key ran.
    keys: BTreeMap<String, u64>,
}

/// Body of a call.
#[derive(Debug, Deserialize)]
struct CallBody {
    /// The item: the garment of a rental desk, or the slot of a booking service.
    #[serde(alias = "slot", alias = "urn")]
    garment: Arc<str>,
}

/// Body of the answer to a call that succeeded.
#[derive(Debug, Serialize)]
struct CallResult<'a> {
    /// The item.
    garment: &'a str,
    /// Number of this item that is reserved after the call.
    taken: u32,
    /// Number of this item that is left after the call.
    left: u32,
    /// Number of this call, counted over the whole service.
    run: u64,
}

impl PlainService {
    /// Creates a service with nothing reserved.
    pub fn new(name: Service, settings: &Settings) -> Self {
        Self {
            name,
            stock: settings.stock.clone(),
            state: Mutex::default(),
        }
    }

    /// `POST /reserve` and `/confirm`: reserves one of an item.
    pub fn reserve(&self, key: Option<&str>, body: &[u8]) -> Response<Body> {
        self.change(key, body, |taken, total| (taken < total).then(|| taken + 1))
    }

    /// `POST /release`: returns one of an item.
    pub fn release(&self, key: Option<&str>, body: &[u8]) -> Response<Body> {
        self.change(key, body, |taken, _| taken.checked_sub(1))
    }

    /// `POST /lookup`: reports the numbers of an item and changes nothing.
    pub fn lookup(&self, key: Option<&str>, body: &[u8]) -> Response<Body> {
        self.change(key, body, |taken, _| Some(taken))
    }

    /// `GET /stock`: lists how many are left of each item that the settings list or that was
    /// reserved.
    pub fn stock(&self) -> Response<Body> {
        let state = self.lock();
        let names = self.stock.keys().chain(state.taken.keys());
        let left: BTreeMap<&str, u32> = names
            .map(|name| (name.as_ref(), self.total(name) - taken(&state, name)))
            .collect();
        json(StatusCode::OK, &left)
    }

    /// Writes the counts to the statistics.
    pub fn count(&self, stats: &mut Stats) {
        let state = self.lock();
        stats.requests = state.runs;
        stats.keyless = state.keyless;
        stats.keys = state.keys.clone();
    }

    /// Counts a call and changes the reserved number of its item. `step` receives the reserved
    /// number and the stock, and returns the new reserved number, or `None` if the call is refused.
    fn change(
        &self,
        key: Option<&str>,
        body: &[u8],
        step: impl FnOnce(u32, u32) -> Option<u32>,
    ) -> Response<Body> {
        let Ok(call) = serde_json::from_slice::<CallBody>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        let total = self.total(&call.garment);
        let mut state = self.lock();
        state.count(key);
        let Some(taken) = step(taken(&state, &call.garment), total) else {
            return error(StatusCode::CONFLICT, "not_available");
        };
        state.taken.insert(call.garment.clone(), taken);
        let done = CallResult {
            garment: &call.garment,
            taken,
            left: total - taken,
            run: state.runs,
        };
        json(StatusCode::OK, &done)
    }

    /// Returns the stock of an item.
    fn total(&self, name: &str) -> u32 {
        match self.stock.is_empty() {
            true => DEFAULT_STOCK,
            false => self.stock.get(name).copied().unwrap_or(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts a call.
    fn count(&mut self, key: Option<&str>) {
        self.runs += 1;
        match key {
            Some(key) => *self.keys.entry(key.to_owned()).or_default() += 1,
            None => self.keyless += 1,
        }
    }
}

/// Returns the reserved number of an item.
fn taken(state: &State, name: &str) -> u32 {
    state.taken.get(name).copied().unwrap_or(0)
}
