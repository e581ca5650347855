//! Errors of a replica.

use std::net::SocketAddr;

use ractor::SpawnErr;
use thiserror::Error;

use crate::edges::disk::DiskError;

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
    /// Too much waits already; nothing was done.
    #[error("too many commands and reads wait")]
    Busy,
    /// The command is too large to be replicated; nothing was done.
    #[error("a command of {0} bytes is too large")]
    Oversized(usize),
    /// The replica has stopped serving, for instance because of its disk.
    #[error("the replica has stopped")]
    Stopped,
}

/// Why a replica could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The data folder.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The snapshot holds no machine that this version reads.
    #[error("the snapshot's machine cannot be read")]
    Machine,
    /// The operating system gave no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
    /// The actor could not be started.
    #[error(transparent)]
    Spawn(#[from] SpawnErr),
    /// The runtime is shutting down.
    #[error("the runtime is shutting down")]
    Runtime,
}
