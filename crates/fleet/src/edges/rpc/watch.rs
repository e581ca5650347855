//! Follows the accepted configuration over whichever replica leads.
//!
//! Only a leader serves a watch, and it says every second that a quorum has confirmed it. A silent
//! replica is left for another one, so that an isolated replica can't hold a follower back.

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
use super::client::named_leader;

/// Silence after which a replica is left for another one.
const SILENCE: Duration = Duration::from_millis(2_500);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

type Slot = watch::Sender<Option<Arc<Accepted>>>;

/// Starts the task that follows.
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

async fn run(client: &ControlClient, slot: &Slot) {
    let mut index = client.first();
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    while let Some(replica) = client.replica(index) {
        let next = match stream(&replica, slot).await {
            Ended::Silent => {
                replica.renew();
                None
            }
            Ended::Served => {
                backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
                None
            }
            Ended::Refused(status) => client.led_by(named_leader(&status)),
        };
        index = next.filter(|next| *next != index).unwrap_or(index + 1);
        tokio::time::sleep(backoff.pause()).await;
    }
}

enum Ended {
    Silent,
    Served,
    Refused(tonic::Status),
}

async fn stream(replica: &Replica, slot: &Slot) -> Ended {
    let revision = slot
        .borrow()
        .as_ref()
        .map_or(Revision::ZERO, |held| held.revision);
    let request = proto::WatchRequest {
        revision: revision.0,
        confirmed: true,
    };
    let mut rpc = replica.rpc();
    let mut updates = match timeout(SILENCE, rpc.watch(request)).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => return Ended::Refused(status),
        Err(_) => return Ended::Silent,
    };
    let mut served = false;
    while let Ok(Ok(Some(update))) = timeout(SILENCE, updates.message()).await {
        served = true;
        take(slot, update);
    }
    if served { Ended::Served } else { Ended::Silent }
}

/// Takes a higher revision over. A message without a document only says that the stream lives.
fn take(slot: &Slot, update: proto::Accepted) {
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
    slot.send_if_modified(|held| {
        let newer = held
            .as_ref()
            .is_none_or(|held| accepted.revision > held.revision);
        if newer {
            *held = Some(Arc::new(accepted));
        }
        newer
    });
}
