//! Starts a replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::Replica;
use chestnutnotch_core::replica::Timing;
use chestnutnotch_core::unit::Millis;
use ractor::Actor;
use ractor::ActorRef;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::actor::Arguments;
use super::actor::ReplicaActor;
use super::actor::ReplicaMessage;
use super::apply::Applied;
use super::error::StartError;
use super::handle::ReplicaHandle;
use crate::edges::disk::Folder;
use crate::edges::rpc::peer::Inbound;
use crate::edges::rpc::peer::LinkFaults;
use crate::edges::rpc::peer::PeerService;
use crate::settings::ReplicaSettings;
use crate::timer::Timer;

/// Commands and reads that may wait at one time.
const WAITING: usize = 8_192;

/// Messages from peers that may wait at one time.
const INBOX: usize = 256;

/// Ticks in one heartbeat.
const TICKS: u64 = 4;

/// Starts the replica of this process. The service it returns has to be served on the address in
/// the settings. `peers` are the addresses of all replicas, this one included.
///
/// # Errors
///
/// See [`StartError`].
pub async fn start(
    settings: &ReplicaSettings,
    peers: &[SocketAddr],
    timer: &Timer,
) -> Result<(ReplicaHandle, PeerService), StartError> {
    start_with(settings, peers, timer, LinkFaults::default()).await
}

/// Like [`start`], with a switch that cuts links between replicas.
///
/// # Errors
///
/// See [`StartError`].
pub async fn start_with(
    settings: &ReplicaSettings,
    peers: &[SocketAddr],
    timer: &Timer,
    switch: LinkFaults,
) -> Result<(ReplicaHandle, PeerService), StartError> {
    let fresh = ReplicaId(getrandom::u64().map_err(StartError::Random)?);
    let seed = getrandom::u64().map_err(StartError::Random)?;
    let data = settings.data.clone();
    let open = tokio::task::spawn_blocking(move || Folder::open(&data, fresh));
    let (folder, durable) = open.await.map_err(|_| StartError::Runtime)??;
    let applied = Applied::restore(&durable.snapshot).map_err(|_| StartError::Machine)?;
    let timing = Timing {
        election: Millis(settings.election),
        heartbeat: Millis(settings.heartbeat),
    };
    let seats = settings.discovery.map(|discovery| discovery.seats);
    let replica =
        Replica::new(folder.id(), durable, timing, seed, timer.now()).with_target_voters(seats);
    let (publish, accepted) = watch::channel(Arc::new(applied.machine.accepted().clone()));
    let (plans, plan) = watch::channel(applied.machine.plan().clone());
    let arguments = Arguments {
        replica,
        folder,
        applied,
        publish,
        plans,
        discovery: settings.discovery,
        peers: peers.to_vec(),
        address: settings.listen,
        compact: settings.snapshot,
        timer: timer.clone(),
        switch,
    };
    let (actor, _) = Actor::spawn(None, ReplicaActor, arguments).await?;
    let (tx, rx) = mpsc::channel(INBOX);
    tokio::spawn(deliver(actor.clone(), rx));
    let period = Duration::from_millis((settings.heartbeat / TICKS).max(1));
    tokio::spawn(tick(actor.clone(), timer.every(period)));
    let handle = ReplicaHandle {
        actor,
        permits: Arc::new(Semaphore::new(WAITING)),
        accepted,
        plan,
    };
    Ok((handle, PeerService::new(tx)))
}

/// Hands messages of peers on, a bounded number at a time.
async fn deliver(actor: ActorRef<ReplicaMessage>, mut inbox: mpsc::Receiver<Inbound>) {
    let permits = Arc::new(Semaphore::new(INBOX));
    while let Some(inbound) = inbox.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        if actor
            .send_message(ReplicaMessage::Inbound(inbound, permit))
            .is_err()
        {
            return;
        }
    }
}

/// Hands ticks on, one at a time.
async fn tick(actor: ActorRef<ReplicaMessage>, mut ticks: mpsc::Receiver<Millis>) {
    let pending = Arc::new(AtomicBool::new(false));
    while ticks.recv().await.is_some() {
        if pending.swap(true, Ordering::AcqRel) {
            continue;
        }
        if actor
            .send_message(ReplicaMessage::Tick(Arc::clone(&pending)))
            .is_err()
        {
            return;
        }
    }
}
