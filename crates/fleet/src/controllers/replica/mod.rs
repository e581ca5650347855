//! Drives a control replica: disk, peers and timers around the pure core.

mod actor;
mod apply;
mod carry;
mod error;
mod handle;
mod meet;
mod serve;
mod start;
mod writer;

pub use error::ReplicaError;
pub use error::StartError;
pub use handle::ReplicaHandle;
pub use handle::ReplicaStatus;
pub use start::start;
pub use start::start_with;
