//! A router's start: it gets an incarnation from the ledger.

use std::time::Duration;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Join;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::id::RouterId;

use crate::edges::rpc::ControlClient;
use crate::settings::HostSettings;
use crate::timer::jitter;

const JOIN_WITHIN: Duration = Duration::from_secs(2);
const JOIN_PAUSE: Duration = Duration::from_millis(100);

/// Asks for an incarnation until there is one. `nonce` is the same for all tries of one start.
pub async fn join(control: &ControlClient, host: &HostSettings, nonce: u64) -> RouterId {
    loop {
        let join = Command::Join(Join {
            host: host.name.clone(),
            centre: host.centre.clone(),
            nonce,
        });
        match control.submit(join, JOIN_WITHIN).await {
            Ok(Reply::Joined(incarnation)) => {
                return RouterId {
                    host: host.name.clone(),
                    incarnation,
                };
            }
            Ok(reply) => log::error!("joining was answered with {reply:?}"),
            Err(error) => log::debug!("not joined yet: {error}"),
        }
        let pause = jitter(JOIN_PAUSE);
        tokio::time::sleep(JOIN_PAUSE + pause).await;
    }
}
