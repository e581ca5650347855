//! Room of this router on its network link.
//!
//! Each request asks before its body is read, so this is a short lock and not an actor.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::room::Bytes;
use chestnutnotch_core::room::Demand;
use chestnutnotch_core::room::Room;
use chestnutnotch_core::unit::Millis;
use rand::RngExt;

use crate::edges::http::Traffic;
use crate::metrics::Metrics;
use crate::timer::Timer;

/// Bounds of the retry delay of a request that finds no room. Another router can take it at once;
/// the spread keeps refused callers from arriving there together.
const MIN_RETRY_MILLIS: u64 = 5;
const MAX_RETRY_MILLIS: u64 = 40;

/// Time between updates of the metrics and log lines.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Counts the bytes of a router and admits requests by them. Cheap to clone; clones share the state.
#[derive(Clone, Debug)]
pub struct RoomHandle {
    /// Bytes of connections of callers.
    pub callers: Traffic,
    /// Bytes of connections to upstreams.
    pub upstreams: Traffic,
    /// `None` if the settings name no rate for the link.
    link: Option<Arc<Mutex<Link>>>,
    timer: Timer,
    metrics: Arc<Metrics>,
}

#[derive(Debug)]
struct Link {
    room: Room,
    /// Totals that `room` knows.
    recorded: Bytes,
    /// Requests refused since the last report.
    refused: u64,
}

/// An admitted request whose body is still to come. To be dropped once it has arrived.
#[derive(Debug)]
pub struct Admitted {
    link: Option<Arc<Mutex<Link>>>,
    body: u64,
}

impl RoomHandle {
    /// Creates the room of a router whose link carries `rate` bytes a second in each direction.
    pub fn new(rate: Option<u64>, timer: Timer, metrics: Arc<Metrics>) -> Self {
        let link = rate.map(|rate| {
            Arc::new(Mutex::new(Link {
                room: Room::new(rate),
                recorded: Bytes::default(),
                refused: 0,
            }))
        });
        Self {
            callers: Traffic::default(),
            upstreams: Traffic::default(),
            link,
            timer,
            metrics,
        }
    }

    /// Admits a request before its body is read.
    ///
    /// # Errors
    ///
    /// The delay after which the caller may turn to another router, if there is no room.
    pub fn admit(&self, demand: Demand<'_>) -> Result<Admitted, Millis> {
        let admitted = Admitted {
            link: self.link.clone(),
            body: demand.body,
        };
        let Some(mut link) = self.update() else {
            return Ok(admitted);
        };
        if link.room.admit(self.timer.now(), demand) {
            return Ok(admitted);
        }
        link.refused += 1;
        drop(link);
        let wait = rand::rng().random_range(MIN_RETRY_MILLIS..=MAX_RETRY_MILLIS);
        Err(Millis(wait))
    }

    /// Returns whether the link is full, so that a connection that isn't made in time says nothing
    /// about its peer.
    pub fn is_full(&self) -> bool {
        self.update().is_some_and(|link| link.room.is_full())
    }

    /// Returns whether a load balancer should send new connections here.
    pub fn is_ready(&self) -> bool {
        let now = self.timer.now();
        self.update().is_none_or(|link| link.room.is_ready(now))
    }

    /// Updates the metrics periodically, and logs the periods in which requests were refused.
    pub async fn report(self) {
        let mut ticks = self.timer.every(REPORT_PERIOD);
        let mut was_ready = true;
        while ticks.recv().await.is_some() {
            let figures = &self.metrics.link;
            figures.set("callers_received", self.callers.received());
            figures.set("callers_sent", self.callers.sent());
            figures.set("upstreams_received", self.upstreams.received());
            figures.set("upstreams_sent", self.upstreams.sent());
            let Some(mut link) = self.update() else {
                continue;
            };
            let delay = link.room.delay();
            let refused = std::mem::take(&mut link.refused);
            let is_ready = link.room.is_ready(self.timer.now());
            drop(link);
            figures.set("delay_ms", delay.0);
            figures.set("out_of_rotation", u64::from(!is_ready));
            if is_ready != was_ready {
                was_ready = is_ready;
                log::info!(is_ready, delay = delay.0; "readiness follows the link");
            }
            if refused > 0 {
                log::info!(
                    refused, delay = delay.0,
                    from_callers = self.callers.received(), to_callers = self.callers.sent(),
                    from_upstreams = self.upstreams.received(), to_upstreams = self.upstreams.sent();
                    "no room for some requests"
                );
            }
        }
    }

    /// Records what has passed the link until now.
    fn update(&self) -> Option<MutexGuard<'_, Link>> {
        let mut link = lock(self.link.as_ref()?);
        let total = Bytes {
            received: self.callers.received() + self.upstreams.received(),
            sent: self.callers.sent() + self.upstreams.sent(),
        };
        let passed = Bytes {
            received: total.received - link.recorded.received,
            sent: total.sent - link.recorded.sent,
        };
        link.recorded = total;
        link.room.record(self.timer.now(), passed);
        Some(link)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(link) = &self.link {
            lock(link).room.finish(self.body);
        }
    }
}

fn lock(link: &Mutex<Link>) -> MutexGuard<'_, Link> {
    link.lock().unwrap_or_else(PoisonError::into_inner)
}
