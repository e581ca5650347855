//! Drives a control replica: disk, peers and timers around the pure core.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::ReplicaId;
use chestnutnotch_core::machine::Machine;
use chestnutnotch_core::unit::Index;
use chestnutnotch_core::unit::Term;
use thiserror::Error;
use tokio::sync::watch;

/// Why a replica gave no answer.
#[derive(Clone, Debug, Error)]
pub enum ReplicaError {
    /// Another replica leads.
    #[error("this replica does not lead")]
    NotLeader {
        /// Who does, as far as known.
        leader: Option<SocketAddr>,
    },
    /// Leadership was lost before the quorum answered. The command may still take effect.
    #[error("no quorum answered")]
    NoQuorum,
    /// The replica has stopped serving, for instance because of its disk.
    #[error("the replica has stopped")]
    Stopped,
}

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
    /// Voting members.
    pub voters: Vec<ReplicaId>,
    /// Members that only follow.
    pub learners: Vec<ReplicaId>,
}

/// A handle on the replica of this process. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ReplicaHandle {
    accepted: watch::Receiver<Arc<Accepted>>,
}

impl ReplicaHandle {
    /// Has a command agreed on and applied.
    ///
    /// # Errors
    ///
    /// See [`ReplicaError`].
    pub async fn submit(
        &self,
        _operator: Operator,
        _command: Command,
    ) -> Result<Reply, ReplicaError> {
        Err(ReplicaError::Stopped)
    }

    /// Looks at the state after a quorum has confirmed that nothing newer exists. Leader only.
    ///
    /// # Errors
    ///
    /// See [`ReplicaError`].
    pub async fn read<T: Send + 'static>(
        &self,
        _view: impl FnOnce(&Machine) -> T + Send + 'static,
    ) -> Result<T, ReplicaError> {
        Err(ReplicaError::Stopped)
    }

    /// Looks at this replica's own state, which may be old.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::Stopped`].
    pub async fn peek<T: Send + 'static>(
        &self,
        _view: impl FnOnce(&Machine) -> T + Send + 'static,
    ) -> Result<T, ReplicaError> {
        Err(ReplicaError::Stopped)
    }

    /// The configuration as this replica has applied it; may be old.
    pub fn accepted(&self) -> watch::Receiver<Arc<Accepted>> {
        self.accepted.clone()
    }

    /// What `status` shows.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::Stopped`].
    pub async fn status(&self) -> Result<ReplicaStatus, ReplicaError> {
        Err(ReplicaError::Stopped)
    }
}
