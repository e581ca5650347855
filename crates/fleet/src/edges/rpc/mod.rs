//! gRPC between the processes of the system.

mod backoff;
mod bounded;
mod client;
mod control;
pub mod document;
mod frames;
mod incoming;
pub mod node;
pub mod peer;
pub mod router;
mod views;
mod watch;

pub use bounded::Bounded;
pub use client::ControlClient;
pub use client::ControlError;
pub(crate) use client::MAX_MESSAGE_BYTES;
pub use client::Referral;
pub use control::ControlServer;
pub use control::HostReports;
pub use incoming::accept_nodes;
pub use router::RouterClient;
pub use router::SpreadError;

/// Metadata key under which a replica that does not lead names the leader's address.
pub const LEADER_KEY: &str = "leader";
