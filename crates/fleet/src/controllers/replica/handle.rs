//! The handle on a replica.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::route::PublishedPlan;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;
use ractor::ActorRef;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::actor::Proposal;
use super::actor::ReplicaMessage;
use super::actor::View;
use super::error::ReplicaError;

/// What `status` shows of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: ReplicaId,
    /// Current term.
    pub term: Term,
    /// Whether it leads.
    pub leads: bool,
    /// Leader's address, as far as known.
    pub leader: Option<SocketAddr>,
    /// Highest entry applied.
    pub applied: Index,
    /// Voting members, as committed.
    pub voters: Vec<ReplicaId>,
    /// Members that only follow, as committed.
    pub learners: Vec<ReplicaId>,
}

/// A handle on the replica of this process. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ReplicaHandle {
    pub(super) actor: ActorRef<ReplicaMessage>,
    pub(super) permits: Arc<Semaphore>,
    pub(super) accepted: watch::Receiver<Arc<Accepted>>,
    pub(super) plan: watch::Receiver<PublishedPlan>,
}

impl ReplicaHandle {
    /// Has a command agreed on and applied.
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
        self.ask(ReplicaMessage::Submit(proposal, permit), answer)
            .await?
    }

    /// Looks at the state after a quorum has confirmed that nothing newer exists. Leader only.
    ///
    /// # Errors
    ///
    /// See [`ReplicaError`].
    pub async fn read<T: Send + 'static>(
        &self,
        view: impl FnOnce(&Machine) -> T + Send + 'static,
    ) -> Result<T, ReplicaError> {
        let permit = self.permit()?;
        let (view, answer) = boxed(view);
        self.ask(ReplicaMessage::Read(view, permit), answer).await?
    }

    /// Looks at this replica's own state, which may be old.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::Stopped`] or [`ReplicaError::Busy`].
    pub async fn peek<T: Send + 'static>(
        &self,
        view: impl FnOnce(&Machine) -> T + Send + 'static,
    ) -> Result<T, ReplicaError> {
        let permit = self.permit()?;
        let (view, answer) = boxed(view);
        self.ask(ReplicaMessage::Peek(view, permit), answer).await?
    }

    /// The configuration as this replica has applied it; may be old.
    pub fn accepted(&self) -> watch::Receiver<Arc<Accepted>> {
        self.accepted.clone()
    }

    /// The pass-through routes as this replica has applied them; may be old.
    pub fn plan(&self) -> watch::Receiver<PublishedPlan> {
        self.plan.clone()
    }

    /// Names the addresses at which other replicas were found.
    pub fn meet(&self, peers: Vec<SocketAddr>) {
        // A stopped replica meets nobody.
        let _ = self.actor.send_message(ReplicaMessage::Peers(peers));
    }

    /// What `status` shows.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::Stopped`].
    pub async fn status(&self) -> Result<ReplicaStatus, ReplicaError> {
        let (reply, answer) = oneshot::channel();
        self.ask(ReplicaMessage::Status(reply), answer).await
    }

    /// Stops the replica: a leader hands its office over, writes under way are finished. Returns when
    /// the data folder is free.
    pub async fn stop(&self) {
        let _ = self.actor.send_message(ReplicaMessage::Stop);
        self.stopped().await;
    }

    /// Returns when the replica has stopped, for instance because of its disk.
    pub async fn stopped(&self) {
        // The actor's state, which holds the sender, goes last.
        let mut accepted = self.accepted.clone();
        while accepted.changed().await.is_ok() {}
    }

    fn permit(&self) -> Result<OwnedSemaphorePermit, ReplicaError> {
        let permits = Arc::clone(&self.permits);
        permits.try_acquire_owned().map_err(|_| ReplicaError::Busy)
    }

    async fn ask<T>(
        &self,
        message: ReplicaMessage,
        answer: oneshot::Receiver<T>,
    ) -> Result<T, ReplicaError> {
        let sent = self.actor.send_message(message);
        sent.map_err(|_| ReplicaError::Stopped)?;
        answer.await.map_err(|_| ReplicaError::Stopped)
    }
}

fn boxed<T: Send + 'static>(
    view: impl FnOnce(&Machine) -> T + Send + 'static,
) -> (View, oneshot::Receiver<Result<T, ReplicaError>>) {
    let (reply, answer) = oneshot::channel();
    let view = move |machine: Result<&Machine, ReplicaError>| {
        // The caller may have gone.
        let _ = reply.send(machine.map(view));
    };
    (Box::new(view), answer)
}
