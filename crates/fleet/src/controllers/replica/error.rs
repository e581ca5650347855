//! Errors of a replica.

use std::net::SocketAddr;

use ractor::SpawnErr;
use thiserror::Error;

use crate::edges::disk::DiskError;

/// Error of a command or read.
#[derive(Clone, Debug, Error)]
pub enum ReplicaError {
    /// This replica is not the leader; nothing was done.
    #[error("this replica does not lead")]
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// Leadership was lost before a quorum responded. A command may still take effect.
    #[error("no quorum answered")]
    NoQuorum,
    /// Too many commands and reads are pending; nothing was done.
    #[error("too many commands and reads wait")]
    Busy,
    /// The command is too large to be replicated; nothing was done.
    #[error("a command of {0} bytes is too large")]
    Oversized(usize),
    /// The replica has stopped, for instance because of a disk error.
    #[error("the replica has stopped")]
    Stopped,
}

/// Error at the start of a replica.
#[derive(Debug, Error)]
pub enum StartError {
    /// The data folder cannot be opened.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The state machine in the snapshot cannot be decoded by this version.
    #[error("the snapshot's machine cannot be read")]
    Machine,
    /// The operating system provided no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
    /// The actor cannot be started.
    #[error(transparent)]
    Spawn(#[from] SpawnErr),
    /// The runtime is shutting down.
    #[error("the runtime is shutting down")]
    Runtime,
}
