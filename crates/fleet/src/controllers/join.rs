//! Joins the ledger: a router gets its incarnation from it at every start.

use std::time::Duration;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Join;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::RouterId;

use crate::edges::rpc::ControlClient;
use crate::settings::HostSettings;
use crate::timer::jitter;

/// Timeout of one request to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest pause between two tries; jitter at most doubles it.
const JOIN_BACKOFF: Duration = Duration::from_millis(100);

/// Asks the ledger for an incarnation until it gives one. `nonce` is the same for all tries of one
/// start, so that a repeated request gets the same incarnation.
pub async fn join(control: &ControlClient, host: &HostSettings, nonce: u64) -> RouterId {
    loop {
        let join = Command::Join(Join {
            host: host.name.clone(),
            centre: host.centre.clone(),
            nonce,
        });
        match control.submit(join, JOIN_TIMEOUT).await {
            Ok(Reply::Joined(incarnation)) => {
                return RouterId {
                    host: host.name.clone(),
                    incarnation,
                };
            }
            Ok(reply) => log::error!("unexpected answer to a request to join: {reply:?}"),
            Err(error) => log::debug!("request to join failed, will retry: {error}"),
        }
        let backoff = jitter(JOIN_BACKOFF);
        tokio::time::sleep(JOIN_BACKOFF + backoff).await;
    }
}
