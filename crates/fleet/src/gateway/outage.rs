//! Time during which no control quorum answers the calls of a host.

use std::sync::Mutex;
use std::sync::PoisonError;

use chestnutnotch_core::unit::Millis;

use crate::edges::rpc::ControlError;
use crate::timer::Timer;

/// Logs when the quorum is lost and when it answers again. Each refused call has a line of its own.
#[derive(Debug)]
pub struct Outage {
    timer: Timer,
    /// The first unanswered call since the last answer, and the number of unanswered calls.
    lost: Mutex<Option<Lost>>,
}

#[derive(Clone, Copy, Debug)]
struct Lost {
    /// End of the first unanswered call, on the monotonic clock.
    since: Millis,
    calls: u64,
}

impl Outage {
    /// Creates an outage that has not begun.
    pub fn new(timer: Timer) -> Self {
        Self {
            timer,
            lost: Mutex::default(),
        }
    }

    /// Records the outcome of a call and returns it.
    pub fn observe<T>(&self, outcome: Result<T, ControlError>) -> Result<T, ControlError> {
        let now = self.timer.now();
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        match (&outcome, &mut *lost) {
            (Err(ControlError::NoQuorum(_)), Some(lost)) => lost.calls += 1,
            (Err(ControlError::NoQuorum(_)), None) => {
                log::warn!("no control quorum answers any more");
                *lost = Some(Lost {
                    since: now,
                    calls: 1,
                });
            }
            (_, Some(Lost { since, calls })) => {
                let ms = now.saturating_sub(*since).0;
                log::info!(ms, calls = *calls; "a control quorum answers again");
                *lost = None;
            }
            (_, None) => {}
        }
        drop(lost);
        outcome
    }
}
