//! HTTP towards callers and upstreams.
//!
//! [`server`] accepts connections, [`client`] and [`pool`] connect to upstreams, [`body`] is what a
//! caller is sent. All bound bytes and time.

pub mod body;
pub mod client;
pub mod pool;
pub mod read;
pub mod server;
pub mod socket;

pub use body::Part;
pub use body::ReplyBody;
pub use client::HttpClient;
pub use client::SendError;
pub use read::ReadError;
pub use read::read_bounded;
