//! How long the requests of each route take, so that a router that stops refuses those that it can't
//! end.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use chestnutnotch_core::limit::ServiceTime;
use chestnutnotch_core::map::Map;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Tokens;

/// Maximum number of routes. All are forgotten when there are more, as names of earlier versions of
/// the routes may remain.
const MAX_ROUTES: usize = 8_192;

/// Times of the requests that were served, by route.
#[derive(Debug, Default)]
pub struct RouteTimes {
    times: Mutex<Map<Arc<str>, ServiceTime>>,
}

impl RouteTimes {
    /// Records the time from the arrival of a request to its complete answer.
    pub fn record(&self, route: &Arc<str>, elapsed: Millis) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        if times.len() >= MAX_ROUTES && !times.contains_key(route) {
            times.clear();
        }
        let time = times.entry(Arc::clone(route)).or_default();
        // The time counts, not the cost.
        time.record(Tokens(1), elapsed);
    }

    /// Returns the time that a long request of the route takes, or `None` if too few were served.
    pub fn long_request(&self, route: &str) -> Option<Millis> {
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(route)?.long_request()
    }
}
