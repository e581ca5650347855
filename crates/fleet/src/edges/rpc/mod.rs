//! RPC between the processes of the system.

mod client;

pub use client::ControlClient;
pub use client::ControlError;
