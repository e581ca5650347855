//! Drives a control replica: disk, peers and timers around the pure core.

mod actor;
mod apply;
mod error;
mod handle;
mod start;
mod writer;

pub use error::ReplicaError;
pub use error::StartError;
pub use handle::ReplicaHandle;
pub use handle::ReplicaStatus;
pub use start::start;
pub use start::start_with;
