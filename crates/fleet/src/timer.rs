//! The timer service: parts subscribe to it in place of keeping clocks of their own.

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
    /// A timer whose monotonic clock starts now.
    pub fn new() -> Self {
        Self {
            epoch: Instant::now(),
        }
    }

    /// Monotonic time since the timer was made.
    pub fn now(&self) -> Millis {
        Millis(self.epoch.elapsed().as_millis() as u64)
    }

    /// Unix time, for records only: it may jump.
    pub fn unix(&self) -> Millis {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Millis(since.unwrap_or_default().as_millis() as u64)
    }

    /// Ticks with the monotonic time at each. A slow subscriber misses ticks; they do not queue up.
    /// The first tick falls at a random point of the period, so that processes do not act in step.
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
                // A full channel means that the last tick is still unread; this one adds nothing.
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

/// A random part of a period.
pub fn jitter(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random::<f64>())
}
