//! Starts a replica.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::replica::DurableState;
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
use super::actor::SnapshotDue;
use super::apply::Applied;
use super::error::StartError;
use super::handle::ReplicaHandle;
use super::writer::FULL_RETRY_PERIOD;
use crate::edges::disk::DiskError;
use crate::edges::disk::DiskFaults;
use crate::edges::disk::Folder;
use crate::edges::rpc::peer::Inbound;
use crate::edges::rpc::peer::LinkFaults;
use crate::edges::rpc::peer::PeerService;
use crate::settings::ReplicaSettings;
use crate::timer::Timer;

/// Largest number of pending commands and reads.
const MAX_PENDING_REQUESTS: usize = 8_192;

/// Largest number of pending batches and greetings from peers, in the channel and again in the
/// actor's mailbox.
const MAX_PENDING_INBOUND: usize = 256;

/// Number of ticks in one heartbeat interval.
const TICKS_PER_HEARTBEAT: u64 = 4;

/// Starts the replica of this process. The caller has to serve the returned service on the address
/// in the settings. `peers` are the configured addresses: those of all replicas, this one included,
/// or, with discovery, of the replicas that create the group.
///
/// # Errors
///
/// See [`StartError`].
pub async fn start(
    settings: &ReplicaSettings,
    peers: &[SocketAddr],
    timer: &Timer,
) -> Result<(ReplicaHandle, PeerService), StartError> {
    let (switch, disk) = (LinkFaults::default(), DiskFaults::default());
    start_with(settings, peers, timer, switch, disk).await
}

/// Like [`start`], with a switch that cuts connections between replicas and simulated room on the
/// disk, for tests.
///
/// # Errors
///
/// See [`StartError`].
pub async fn start_with(
    settings: &ReplicaSettings,
    peers: &[SocketAddr],
    timer: &Timer,
    switch: LinkFaults,
    disk: DiskFaults,
) -> Result<(ReplicaHandle, PeerService), StartError> {
    let new_id = ReplicaId(getrandom::u64().map_err(StartError::Random)?);
    let seed = getrandom::u64().map_err(StartError::Random)?;
    let data = settings.data.clone();
    let open = tokio::task::spawn_blocking(move || open_with_room(&data, new_id, &disk));
    let (folder, durable) = open.await.map_err(|_| StartError::Runtime)??;
    let applied = Applied::restore(&durable.snapshot).map_err(|_| StartError::Machine)?;
    let timing = Timing {
        election: Millis(settings.election),
        heartbeat: Millis(settings.heartbeat),
    };
    let seats = settings.discovery.map(|discovery| discovery.seats);
    let replica =
        Replica::new(folder.id(), durable, timing, seed, timer.now()).with_target_voters(seats);
    let (accepted_tx, accepted) = watch::channel(Arc::new(applied.machine.accepted().clone()));
    let (plan_tx, plan) = watch::channel(applied.machine.plan().clone());
    let (evacuations_tx, evacuations) = watch::channel(applied.machine.evacuations().clone());
    let arguments = Arguments {
        replica,
        folder,
        applied,
        accepted_tx,
        plan_tx,
        evacuations_tx,
        discovery: settings.discovery,
        peers: peers.to_vec(),
        address: settings.listen,
        snapshot_due: SnapshotDue {
            entries: settings.snapshot.max(1),
            bytes: settings.snapshot_bytes.max(1),
        },
        timer: timer.clone(),
        switch,
    };
    let (actor, _) = Actor::spawn(None, ReplicaActor, arguments).await?;
    let tx = feed(&actor, settings.heartbeat, timer);
    let handle = ReplicaHandle {
        actor,
        permits: Arc::new(Semaphore::new(MAX_PENDING_REQUESTS)),
        accepted,
        plan,
        evacuations,
    };
    Ok((handle, PeerService::new(tx)))
}

/// Starts to forward ticks and messages of peers to the actor. Returns the sender of the messages.
/// `heartbeat` is the time between two heartbeats of a leader, in milliseconds.
fn feed(actor: &ActorRef<ReplicaMessage>, heartbeat: u64, timer: &Timer) -> mpsc::Sender<Inbound> {
    let (tx, rx) = mpsc::channel(MAX_PENDING_INBOUND);
    tokio::spawn(forward_inbound(actor.clone(), rx));
    let period = Duration::from_millis((heartbeat / TICKS_PER_HEARTBEAT).max(1));
    tokio::spawn(forward_ticks(actor.clone(), timer.every(period)));
    tx
}

/// Opens the data folder. Tries again while the disk is full.
fn open_with_room(
    path: &Path,
    new_id: ReplicaId,
    disk: &DiskFaults,
) -> Result<(Folder, DurableState), DiskError> {
    let mut is_full = false;
    loop {
        match Folder::open_with(path, new_id, disk.clone()) {
            Err(error @ DiskError::Full { .. }) => {
                if !is_full {
                    log::error!("the replica does not start before there is room: {error}");
                }
                is_full = true;
                thread::sleep(FULL_RETRY_PERIOD);
            }
            opened => return opened,
        }
    }
}

/// Forwards messages of peers to the actor, whose mailbox has no limit of its own. A permit for
/// each one limits how many are pending there.
async fn forward_inbound(actor: ActorRef<ReplicaMessage>, mut inbox: mpsc::Receiver<Inbound>) {
    let permits = Arc::new(Semaphore::new(MAX_PENDING_INBOUND));
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

/// Forwards ticks to the actor. Skips a tick while the previous one is pending.
async fn forward_ticks(actor: ActorRef<ReplicaMessage>, mut ticks: mpsc::Receiver<Millis>) {
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
