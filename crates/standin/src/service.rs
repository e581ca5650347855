//! The stand-in plain service: a rental desk that reserves, releases and lists its stock.

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

/// Number of each item if the settings list no stock.
const DEFAULT_STOCK: u32 = 1_000;

/// A stand-in plain service.
#[derive(Debug)]
pub(crate) struct Desk {
    /// Name of the service.
    pub name: Service,
    stock: BTreeMap<Arc<str>, u32>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    taken: BTreeMap<Arc<str>, u32>,
    runs: u64,
    keyless: u64,
    keys: BTreeMap<String, u64>,
}

/// Body of a call: the garment of a rental desk, or the slot of a booking service.
#[derive(Debug, Deserialize)]
struct Call {
    #[serde(alias = "slot", alias = "urn")]
    garment: Arc<str>,
}

#[derive(Debug, Serialize)]
struct Done<'a> {
    garment: &'a str,
    taken: u32,
    left: u32,
    run: u64,
}

impl Desk {
    /// A service with all its stock.
    pub fn new(name: Service, settings: &Settings) -> Self {
        Self {
            name,
            stock: settings.stock.clone(),
            state: Mutex::default(),
        }
    }

    /// `POST /reserve` and `/confirm`: takes one of an item.
    pub fn reserve(&self, key: Option<&str>, body: &[u8]) -> Response<Body> {
        self.change(key, body, |taken, total| (taken < total).then(|| taken + 1))
    }

    /// `POST /release`: gives one of an item back.
    pub fn release(&self, key: Option<&str>, body: &[u8]) -> Response<Body> {
        self.change(key, body, |taken, _| taken.checked_sub(1))
    }

    /// `GET /stock`: what is left of each item that is listed or was taken.
    pub fn stock(&self) -> Response<Body> {
        let state = self.lock();
        let names = self.stock.keys().chain(state.taken.keys());
        let left: BTreeMap<&str, u32> = names
            .map(|name| (name.as_ref(), self.total(name) - taken(&state, name)))
            .collect();
        json(StatusCode::OK, &left)
    }

    /// Adds the counts to the statistics.
    pub fn count(&self, stats: &mut Stats) {
        let state = self.lock();
        stats.requests = state.runs;
        stats.keyless = state.keyless;
        stats.keys = state.keys.clone();
    }

    fn change(
        &self,
        key: Option<&str>,
        body: &[u8],
        step: impl FnOnce(u32, u32) -> Option<u32>,
    ) -> Response<Body> {
        let Ok(call) = serde_json::from_slice::<Call>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        let total = self.total(&call.garment);
        let mut state = self.lock();
        state.count(key);
        let Some(taken) = step(taken(&state, &call.garment), total) else {
            return error(StatusCode::CONFLICT, "not_available");
        };
        state.taken.insert(call.garment.clone(), taken);
        let done = Done {
            garment: &call.garment,
            taken,
            left: total - taken,
            run: state.runs,
        };
        json(StatusCode::OK, &done)
    }

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
    fn count(&mut self, key: Option<&str>) {
        self.runs += 1;
        match key {
            Some(key) => *self.keys.entry(key.to_owned()).or_default() += 1,
            None => self.keyless += 1,
        }
    }
}

fn taken(state: &State, name: &str) -> u32 {
    state.taken.get(name).copied().unwrap_or(0)
}
