//! The timer service: the clock and the periodic ticks of a process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use chestnutnotch_core::unit::Millis;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

/// Source of time and of ticks. Cheap to clone; clones share the epoch.
#[derive(Clone, Debug)]
pub struct Timer {
    epoch: Instant,
}

impl Timer {
    /// Returns a timer whose monotonic clock starts at zero now.
    pub fn new() -> Self {
        Self {
            epoch: Instant::now(),
        }
    }

    /// Returns the monotonic time since the timer was created.
    pub fn now(&self) -> Millis {
        Millis(self.epoch.elapsed().as_millis() as u64)
    }

    /// Returns the Unix time. It may jump, so it is meant for records and not for timeouts.
    pub fn unix(&self) -> Millis {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Millis(since.unwrap_or_default().as_millis() as u64)
    }

    /// Returns a receiver that gets the monotonic time once a period. Ticks do not queue up: a slow
    /// receiver misses some. The first tick comes at a random time within the period, so that
    /// processes do not act in step.
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Millis> {
        let (tx, rx) = mpsc::channel(1);
        let timer = self.clone();
        tokio::spawn(async move {
            let start = tokio::time::Instant::now() + jitter(period);
            let mut ticks = tokio::time::interval_at(start, period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    () = tx.closed() => return,
                    _ = ticks.tick() => {}
                }
                // The channel is full if the last tick is unread; then this one is not needed.
                let _ = tx.try_send(timer.now());
            }
        });
        rx
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a random duration between zero and `period`.
pub fn jitter(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random::<f64>())
}
