//! Orders to an engine, and the fencing number that guards them.

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
    fence: u64,
    #[serde(default)]
    load: Option<Loaded>,
    #[serde(default)]
    unload: Option<Loaded>,
    #[serde(default)]
    role: Option<String>,
}

/// What an engine has loaded, and the highest fencing number that it has seen.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct State {
    /// Highest fencing number.
    pub fence: u64,
    /// What is loaded.
    pub models: Vec<Loaded>,
    /// Role, if one was ordered.
    pub role: Option<String>,
    /// Fencing numbers of the orders obeyed.
    #[serde(skip)]
    pub log: Vec<u64>,
}

/// Orders remembered for the statistics.
const LOGGED_ORDERS: usize = 10_000;

impl State {
    /// Obeys an order, or refuses one with an old fencing number unless `unfenced`.
    pub fn obey(&mut self, body: &[u8], unfenced: bool) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
        };
        if order.fence < self.fence && !unfenced {
            return error(StatusCode::CONFLICT, "old_fence");
        }
        self.fence = self.fence.max(order.fence);
        if self.log.len() < LOGGED_ORDERS {
            self.log.push(order.fence);
        }
        if let Some(gone) = order.unload {
            self.models.retain(|one| *one != gone);
        }
        if let Some(new) = order.load
            && !self.models.contains(&new)
        {
            self.models.push(new);
        }
        self.role = order.role.or(self.role.take());
        json(StatusCode::OK, self)
    }
}
