//! Finds out which starts of upstreams have ended.
//!
//! A connection that breaks may have been cut by an upstream that runs on. A process that has ended
//! refuses the next connection, until another start takes its place some time later.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chestnutnotch_core::map::Map;
use chestnutnotch_core::map::Set;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::edges::http::pool::CONNECT_TIMEOUT;
use crate::edges::http::pool::PoolKey;

/// Time between a break and the check. An operating system closes the connections of an ended
/// process within it, the listening ones too, and no process starts again as fast.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// Minimum time between two checks of one start, which bounds the connections that they open.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts of upstreams that are checked, and those found to have ended. Cheap to clone; clones share
/// them.
#[derive(Clone, Debug, Default)]
pub struct EndedStarts {
    state: Arc<Mutex<State>>,
    found: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    /// Starts that are being checked, and whether a connection broke since the check began.
    checks: Map<PoolKey, bool>,
    /// Starts that refused a connection and were not returned yet.
    ended: Set<PoolKey>,
}

impl EndedStarts {
    /// Checks in the background whether a start has ended, one of whose connections broke.
    pub fn check(&self, key: PoolKey) {
        let mut state = self.lock();
        if let Some(broke_again) = state.checks.get_mut(&key) {
            *broke_again = true;
            return;
        }
        state.checks.insert(key, false);
        drop(state);
        let this = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_DELAY).await;
                this.lock().checks.insert(key, false);
                if has_ended(key.address).await {
                    this.record(key);
                }
                if !this.is_due(key) {
                    return;
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        });
    }

    /// Records a start that refused a connection.
    pub fn record(&self, key: PoolKey) {
        self.lock().ended.insert(key);
        self.found.notify_one();
    }

    /// Waits for starts that refused a connection since the last call.
    pub async fn next(&self) -> Vec<PoolKey> {
        loop {
            let ended: Vec<PoolKey> = self.lock().ended.drain().collect();
            if !ended.is_empty() {
                return ended;
            }
            self.found.notified().await;
        }
    }

    /// Returns whether a start has to be checked once more; ends its checks if not.
    fn is_due(&self, key: PoolKey) -> bool {
        let mut state = self.lock();
        let is_due = state.checks.get(&key) == Some(&true);
        if !is_due {
            state.checks.remove(&key);
        }
        is_due
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether an error of a connection attempt shows that no process listens at the address.
pub fn is_refusal(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset | ErrorKind::HostUnreachable
    )
}

/// Returns whether an upstream takes no connection, shortly after one broke. No reply counts too.
async fn has_ended(address: SocketAddr) -> bool {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => false,
        Ok(Err(error)) => is_refusal(&error),
        Err(_) => true,
    }
}
