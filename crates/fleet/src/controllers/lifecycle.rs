//! Where a router stands between its start and its end, and how many requests it runs.

use std::sync::Arc;

use tokio::sync::watch;

use crate::metrics::Metrics;

/// Where a router stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It holds no confirmed configuration yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it runs and takes nothing new.
    Stopping,
    /// The ledger has closed its allotments: another start holds the host slot, or it was retired.
    Closed,
}

/// The stage of this router and its requests in flight. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    flying: watch::Sender<usize>,
    metrics: Arc<Metrics>,
}

/// Counts one request in flight until dropped.
#[derive(Debug)]
pub struct Flight(Lifecycle);

impl Lifecycle {
    /// A router that starts.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            stage: watch::Sender::new(Stage::Starting),
            flying: watch::Sender::new(0),
            metrics,
        }
    }

    /// The stage now.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Follows the stage.
    pub fn follow(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Moves on to a later stage. Stages are never gone back to.
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

    /// Counts a request in flight.
    pub fn enter(&self) -> Flight {
        self.flying.send_modify(|count| *count += 1);
        self.metrics.flying.inc();
        Flight(self.clone())
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        let mut flying = self.flying.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _ = flying.wait_for(|count| *count == 0).await;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.flying.send_modify(|count| *count -= 1);
        self.0.metrics.flying.dec();
    }
}

fn rank(stage: Stage) -> u8 {
    match stage {
        Stage::Starting => 0,
        Stage::Serving => 1,
        Stage::Closed => 2,
        Stage::Stopping => 3,
    }
}
