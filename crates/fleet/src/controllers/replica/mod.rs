//! Runs a control replica: connects the consensus protocol and the state machine of the core crate,
//! which do no I/O, to the disk, the other replicas and the clock.

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
pub use handle::FoundPeer;
pub use handle::LogStatus;
pub use handle::ReplicaHandle;
pub use handle::ReplicaStatus;
pub use start::start;
pub use start::start_with;
