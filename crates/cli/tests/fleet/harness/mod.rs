//! Starts, stops, freezes and cuts the processes of a small fleet, and counts what they did.

/// Names the cases of a file: each starts a fleet of some shape and hands it to a function.
macro_rules! cases {
    ($($name:ident: $shape:expr => $case:path;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let fleet = crate::harness::Fleet::start($shape).await;
            $case(fleet).await;
        }
    )*};
}

mod chat;
mod count;
mod fleet;
mod process;
mod relay;

pub use chat::Chat;
pub use count::Count;
pub use fleet::Fleet;
pub use fleet::Shape;
pub use fleet::example;

use std::time::Duration;

/// Longest wait for anything; no test depends on how long something took below it.
pub const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(40);

/// Polls until a condition holds.
pub async fn until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    };
    if tokio::time::timeout(PATIENCE, poll).await.is_err() {
        panic!("waited in vain: {what}");
    }
}

/// Polls until there is a value.
pub async fn found<T, F: Future<Output = Option<T>>>(what: &str, look: impl Fn() -> F) -> T {
    let poll = async {
        loop {
            if let Some(value) = look().await {
                return value;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    match tokio::time::timeout(PATIENCE, poll).await {
        Ok(value) => value,
        Err(_) => panic!("waited in vain: {what}"),
    }
}
