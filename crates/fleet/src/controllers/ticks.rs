//! Forwards the ticks of the timer service to an actor.

use std::time::Duration;

use ractor::ActorRef;
use ractor::Message;

use crate::timer::Timer;

/// Sends a message to an actor once a period until the actor stops. `message` is called to make
/// each message.
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
