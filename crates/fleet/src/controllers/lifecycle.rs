//! The lifecycle stage of a router, and the number of its requests in flight.

use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::unit::Millis;
use tokio::sync::watch;

use crate::metrics::Metrics;
use crate::timer::Timer;

/// Lifecycle stage of a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It has no confirmed configuration yet.
    Starting,
    /// It serves requests.
    Serving,
    /// It finishes the requests in flight and refuses new ones.
    Stopping,
    /// The ledger has closed its allotments: another incarnation has taken the host slot, or the
    /// router was retired.
    Closed,
}

/// The stage of this router and its requests in flight. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    in_flight: watch::Sender<usize>,
    /// When the requests in flight have to be answered, once the router stops.
    drain_end: watch::Sender<Option<Millis>>,
    metrics: Arc<Metrics>,
}

/// Counts one request in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Lifecycle);

impl Lifecycle {
    /// Returns the lifecycle of a router that starts.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            stage: watch::Sender::new(Stage::Starting),
            in_flight: watch::Sender::new(0),
            drain_end: watch::Sender::new(None),
            metrics,
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns a receiver that is notified of changes of the stage.
    pub fn subscribe(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Advances to a later stage. A call with an earlier or the current stage has no effect.
    pub fn advance(&self, next: Stage) {
        self.stage.send_if_modified(|stage| {
            let later = rank(next) > rank(*stage);
            if later {
                log::info!("router is {next:?}");
                *stage = next;
            }
            later
        });
    }

    /// Advances to [`Stage::Stopping`]. All requests have to be answered by `end`.
    pub fn stop_by(&self, end: Millis) {
        self.drain_end.send_replace(Some(end));
        self.advance(Stage::Stopping);
    }

    /// Returns when all requests have to be answered, if the router stops.
    pub fn drain_end(&self) -> Option<Millis> {
        *self.drain_end.borrow()
    }

    /// Waits until the router stops and all requests have to be answered.
    pub async fn drained(&self, timer: &Timer) {
        let mut end = self.drain_end.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let end = end.wait_for(Option::is_some).await;
        let end = end.ok().and_then(|end| *end).unwrap_or(Millis::ZERO);
        let left = end.saturating_sub(timer.now());
        tokio::time::sleep(Duration::from_millis(left.0)).await;
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.send_modify(|count| *count += 1);
        self.metrics.in_flight.inc();
        InFlightGuard(self.clone())
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        let mut in_flight = self.in_flight.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|count| *count -= 1);
        self.0.metrics.in_flight.dec();
    }
}

/// Returns the position of a stage in the order in which stages are passed through.
fn rank(stage: Stage) -> u8 {
    match stage {
        Stage::Starting => 0,
        Stage::Serving => 1,
        Stage::Closed => 2,
        Stage::Stopping => 3,
    }
}
