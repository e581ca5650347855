//! Measures how late a runtime runs its tasks.
//!
//! A runtime with more work than processor time runs every task late. Timeouts of calls to other
//! nodes then expire although the other node has answered. This delay tells such a node from one
//! whose peers or links are slow.

use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::unit::Millis;

use crate::metrics::Metrics;
use crate::timer::Timer;

/// Time between two measurements.
const PERIOD: Duration = Duration::from_millis(250);

/// Delay from which it is logged: a third of the shortest timeout of a call between nodes that has
/// to succeed, so that the few steps of such a call may still fit.
const LOGGED_DELAY: Millis = Millis(150);

/// Measures the runtime that runs this for as long as it runs. `runtime` is its name in logs and
/// metrics.
pub async fn measure(runtime: &'static str, timer: Timer, metrics: Arc<Metrics>) {
    let mut ticks = timer.every(PERIOD);
    let period = Millis(PERIOD.as_millis() as u64);
    let mut last = None;
    while ticks.recv().await.is_some() {
        let now = timer.now();
        let due = last.map_or(now, |last| last + period);
        last = Some(now);
        let delay = now.saturating_sub(due);
        metrics.observe_run_delay(runtime, delay);
        if delay >= LOGGED_DELAY {
            log::warn!(runtime, ms = delay.0; "tasks run late");
        }
    }
}
