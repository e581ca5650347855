//! Passes ticks of the timer service on to an actor.

use std::time::Duration;

use ractor::ActorRef;
use ractor::Message;

use crate::timer::Timer;

/// Sends what `message` makes to the actor at each tick, until the actor stops.
pub fn forward<M: Message>(
    timer: &Timer,
    period: Duration,
    actor: ActorRef<M>,
    message: impl Fn() -> M + Send + 'static,
) {
    let mut ticks = timer.every(period);
    tokio::spawn(async move {
        while ticks.recv().await.is_some() {
            if actor.cast(message()).is_err() {
                return;
            }
        }
    });
}
