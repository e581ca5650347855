//! The interface to a running replica.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::evacuation::Evacuations;
use chestnutnotch_core::id::DataCentre;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Millis;
use chestnutnotch_core::unit::Term;
use ractor::ActorRef;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::actor::Proposal;
use super::actor::Query;
use super::actor::ReplicaMessage;
use super::error::ReplicaError;

/// Status of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Current term.
    pub term: Term,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// Address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// Index of the last entry applied.
    pub applied: Index,
    /// Voters in the committed membership.
    pub voters: Vec<ReplicaId>,
    /// Members without a vote in the committed membership.
    pub learners: Vec<ReplicaId>,
    /// Size and state of the log.
    pub log: LogStatus,
    /// Time since this replica knew a leader; zero if it knows one.
    pub leaderless: Millis,
    /// Members that lack entries of this leader, with the number of entries.
    pub behind: Vec<(ReplicaId, u64)>,
}

/// A control replica that discovery found.
#[derive(Clone, Debug)]
pub struct FoundPeer {
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Data centre of its host.
    pub centre: DataCentre,
}

/// Size and state of a replica's log.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogStatus {
    /// Index of the last entry.
    pub last: Index,
    /// Size of the commands in the log, in bytes.
    pub bytes: usize,
    /// Index of the last entry in the snapshot.
    pub snapshot: Index,
    /// Size of the snapshot, in bytes.
    pub snapshot_bytes: usize,
    /// Whether a write waits for room on the disk.
    pub disk_full: bool,
    /// Whether commands wait until the log is compacted.
    pub held: bool,
}

/// A handle to the replica of this process. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ReplicaHandle {
    /// The replica's actor.
    pub(super) actor: ActorRef<ReplicaMessage>,
    /// Limits the pending commands and reads.
    pub(super) permits: Arc<Semaphore>,
    /// Configuration as of the last entry applied. Its sender is dropped when the actor has
    /// stopped.
    pub(super) accepted: watch::Receiver<Arc<Accepted>>,
    /// Pass-through routes as of the last entry applied.
    pub(super) plan: watch::Receiver<PublishedPlan>,
    pub(super) evacuations: watch::Receiver<Evacuations>,
}

impl ReplicaHandle {
    /// Replicates and applies a command, and returns its result. Leader only.
    ///
    /// # Errors
    ///
    /// See [`ReplicaError`].
    pub async fn submit(
        &self,
        operator: Operator,
        command: Command,
    ) -> Result<Reply, ReplicaError> {
        let permit = self.permit()?;
        let (reply, answer) = oneshot::channel();
        let proposal = Proposal {
            operator,
            command,
            reply,
        };
        self.request(ReplicaMessage::Submit(proposal, permit), answer)
            .await?
    }

    /// Runs a linearizable read: a quorum confirms that this replica still leads before the state
    /// is read. Leader only.
    ///
    /// # Errors
    ///
    /// See [`ReplicaError`].
    pub async fn read<T: Send + 'static>(
        &self,
        view: impl FnOnce(&Machine) -> T + Send + 'static,
    ) -> Result<T, ReplicaError> {
        let permit = self.permit()?;
        let (view, answer) = boxed_query(view);
        self.request(ReplicaMessage::Read(view, permit), answer)
            .await?
    }

    /// Reads this replica's own state, which may be stale.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::Stopped`] or [`ReplicaError::Busy`].
    pub async fn peek<T: Send + 'static>(
        &self,
        view: impl FnOnce(&Machine) -> T + Send + 'static,
    ) -> Result<T, ReplicaError> {
        let permit = self.permit()?;
        let (view, answer) = boxed_query(view);
        self.request(ReplicaMessage::ReadLocal(view, permit), answer)
            .await?
    }

    /// Watches the configuration as of the last entry applied here, which may be stale.
    pub fn accepted(&self) -> watch::Receiver<Arc<Accepted>> {
        self.accepted.clone()
    }

    /// Watches the pass-through routes as of the last entry applied here, which may be stale.
    pub fn plan(&self) -> watch::Receiver<PublishedPlan> {
        self.plan.clone()
    }

    /// Watches the evacuations as of the last entry applied here, which may be stale.
    pub fn evacuations(&self) -> watch::Receiver<Evacuations> {
        self.evacuations.clone()
    }

    /// Sets the replicas that discovery found, in place of earlier ones. They may include this one.
    pub fn set_peers(&self, peers: Vec<FoundPeer>) {
        // A stopped replica needs no peers.
        let _ = self.actor.send_message(ReplicaMessage::PeersFound(peers));
    }

    /// Returns the status.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::Stopped`].
    pub async fn status(&self) -> Result<ReplicaStatus, ReplicaError> {
        let (reply, answer) = oneshot::channel();
        self.request(ReplicaMessage::Status(reply), answer).await
    }

    /// Stops the replica: a leader transfers its leadership, and pending writes are finished.
    /// Returns when the data folder is unlocked.
    pub async fn stop(&self) {
        let _ = self.actor.send_message(ReplicaMessage::Stop);
        self.stopped().await;
    }

    /// Returns when the replica has stopped, for instance because of a disk error.
    pub async fn stopped(&self) {
        // The sender is dropped with the state of the actor, which is the last thing to go.
        let mut accepted = self.accepted.clone();
        while accepted.changed().await.is_ok() {}
    }

    /// Returns a permit for a command or read, or [`ReplicaError::Busy`] if too many are pending.
    fn permit(&self) -> Result<OwnedSemaphorePermit, ReplicaError> {
        let permits = Arc::clone(&self.permits);
        permits.try_acquire_owned().map_err(|_| ReplicaError::Busy)
    }

    /// Sends a message to the actor and waits for the answer.
    async fn request<T>(
        &self,
        message: ReplicaMessage,
        answer: oneshot::Receiver<T>,
    ) -> Result<T, ReplicaError> {
        let sent = self.actor.send_message(message);
        sent.map_err(|_| ReplicaError::Stopped)?;
        answer.await.map_err(|_| ReplicaError::Stopped)
    }
}

/// Wraps a read so that it sends its result, or the error, to the returned receiver.
fn boxed_query<T: Send + 'static>(
    view: impl FnOnce(&Machine) -> T + Send + 'static,
) -> (Query, oneshot::Receiver<Result<T, ReplicaError>>) {
    let (reply, answer) = oneshot::channel();
    let view = move |machine: Result<&Machine, ReplicaError>| {
        // The caller may have stopped waiting.
        let _ = reply.send(machine.map(view));
    };
    (Box::new(view), answer)
}
