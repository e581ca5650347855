//! Follows the accepted configuration on whichever replica leads.
//!
//! Only a leader serves a watch, and every second it sends a heartbeat that a quorum has confirmed.
//! The watcher leaves a silent replica for another one, so that an isolated replica can't keep it
//! on an old revision.

use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::unit::Revision;
use chestnutnotch_wire::proto;
use tokio::sync::watch;
use tokio::time::timeout;

use super::backoff::Backoff;
use super::client::ControlClient;
use super::client::Replica;
use super::client::leader_hint;

/// Time without a message after which the watcher tries another replica.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bound on the first backoff delay.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Bound on every backoff delay.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Channel on which the accepted configuration is published.
type AcceptedSender = watch::Sender<Option<Arc<Accepted>>>;

/// Starts the task that follows the configuration. It ends when every receiver is dropped.
pub(super) fn follow(client: ControlClient) -> watch::Receiver<Option<Arc<Accepted>>> {
    let (tx, rx) = watch::channel(None);
    tokio::spawn(async move {
        tokio::select! {
            () = tx.closed() => {}
            () = run(&client, &tx) => {}
        }
    });
    rx
}

/// Watches one replica after another, as long as any is known.
async fn run(client: &ControlClient, accepted_tx: &AcceptedSender) {
    let mut index = client.leader_index();
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    while let Some(replica) = client.replica(index) {
        let next = match follow_replica(&replica, accepted_tx).await {
            StreamEnd::Silent => {
                replica.reconnect();
                None
            }
            StreamEnd::Served => {
                backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
                None
            }
            StreamEnd::Refused(status) => client.set_leader(leader_hint(&status)),
        };
        index = next.filter(|next| *next != index).unwrap_or(index + 1);
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

/// How a watch on one replica ended.
enum StreamEnd {
    /// The replica sent no update.
    Silent,
    /// The replica sent updates before the stream ended.
    Served,
    /// The replica refused the watch. The status may name the leader.
    Refused(tonic::Status),
}

/// Watches one replica until its stream ends or falls silent.
async fn follow_replica(replica: &Replica, accepted_tx: &AcceptedSender) -> StreamEnd {
    let revision = accepted_tx
        .borrow()
        .as_ref()
        .map_or(Revision::ZERO, |held| held.revision);
    let request = proto::WatchRequest {
        revision: revision.0,
        confirmed: true,
    };
    let mut rpc = replica.rpc();
    let mut updates = match timeout(SILENCE_TIMEOUT, rpc.watch(request)).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => return StreamEnd::Refused(status),
        Err(_) => return StreamEnd::Silent,
    };
    let mut served = false;
    while let Ok(Ok(Some(update))) = timeout(SILENCE_TIMEOUT, updates.message()).await {
        served = true;
        apply_update(accepted_tx, update);
    }
    if served {
        StreamEnd::Served
    } else {
        StreamEnd::Silent
    }
}

/// Publishes the configuration if its revision is higher. A message without a document is a
/// heartbeat.
fn apply_update(accepted_tx: &AcceptedSender, update: proto::Accepted) {
    if update.document.is_none() && update.revision > 0 {
        return;
    }
    let accepted = if update.revision == 0 {
        Accepted::default()
    } else {
        match Accepted::try_from(update) {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("configuration update ignored: {error}");
                return;
            }
        }
    };
    accepted_tx.send_if_modified(|held| {
        let newer = held
            .as_ref()
            .is_none_or(|held| accepted.revision > held.revision);
        if newer {
            *held = Some(Arc::new(accepted));
        }
        newer
    });
}
