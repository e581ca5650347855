//! Runs a small fleet of real processes, injects failures, and reads the totals of its work.

/// Defines test cases. Each starts a fleet with some options and passes it to a function.
macro_rules! cases {
    ($($name:ident: $options:expr => $case:path;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let fleet = crate::harness::Fleet::start($options).await;
            $case(fleet).await;
        }
    )*};
}

mod chat;
mod count;
mod fleet;
mod process;
mod relay;

pub use chat::ChatAnswer;
pub use count::TokenTotals;
pub use fleet::Fleet;
pub use fleet::FleetOptions;
pub use fleet::example_path;

use std::time::Duration;

/// Maximum wait for any event. No test depends on how much earlier the event occurs.
pub const MAX_WAIT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Polls until a condition holds. Panics after [`MAX_WAIT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(MAX_WAIT, poll).await.is_err() {
        panic!("timed out waiting for {what}");
    }
}

/// Polls until there is a value, and returns it. Panics after [`MAX_WAIT`].
pub async fn poll_for<T, F: Future<Output = Option<T>>>(what: &str, probe: impl Fn() -> F) -> T {
    let poll = async {
        loop {
            if let Some(value) = probe().await {
                return value;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    match tokio::time::timeout(MAX_WAIT, poll).await {
        Ok(value) => value,
        Err(_) => panic!("timed out waiting for {what}"),
    }
}
