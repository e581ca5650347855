//! Orders that change what an engine has loaded. A fencing number protects them against a sender
//! that has been replaced.

use chestnutnotch_core::upstream::announce::Loaded;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http::Body;
use crate::http::error;
use crate::http::json;

/// Body of `POST /v1/order`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Order {
    /// Fencing number of the sender.
    fence: u64,
    /// Model to load.
    #[serde(default)]
    load: Option<Loaded>,
    /// Model to unload.
    #[serde(default)]
    unload: Option<Loaded>,
    /// Role to assume.
    #[serde(default)]
    role: Option<String>,
}

/// What an engine has loaded, and the highest fencing number that it has seen. Answer to an order
/// and to `GET /v1/loaded`.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct State {
    /// Highest fencing number seen.
    pub fence: u64,
    /// Loaded models.
    pub models: Vec<Loaded>,
    /// Role from the latest order that named one.
    pub role: Option<String>,
    /// Fencing numbers of the executed orders, for the statistics.
    #[serde(skip)]
    pub log: Vec<u64>,
}

/// Largest number of orders recorded for the statistics.
const MAX_LOGGED_ORDERS: usize = 10_000;

impl State {
    /// Executes an order. Refuses one with an old fencing number unless `unfenced` is set.
    pub fn execute(&mut self, body: &[u8], unfenced: bool) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        if order.fence < self.fence && !unfenced {
            return error(StatusCode::CONFLICT, "old_fence");
        }
        self.fence = self.fence.max(order.fence);
        if self.log.len() < MAX_LOGGED_ORDERS {
            self.log.push(order.fence);
        }
        if let Some(unloaded) = order.unload {
            self.models.retain(|one| *one != unloaded);
        }
        if let Some(loaded) = order.load
            && !self.models.contains(&loaded)
        {
            self.models.push(loaded);
        }
        self.role = order.role.or(self.role.take());
        json(StatusCode::OK, self)
    }
}
