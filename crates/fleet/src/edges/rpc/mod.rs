//! RPC between the processes of the system.

mod client;

pub mod peer;
pub mod router;

pub use client::ControlClient;
pub use client::ControlError;
pub use router::RouterClient;
pub use router::SpreadError;
