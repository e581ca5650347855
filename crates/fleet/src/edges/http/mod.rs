//! HTTP towards callers and upstreams.
//!
//! [`server`] accepts connections, [`client`] connects to upstreams, [`body`] is what a caller is
//! sent. All three bound bytes and time.

pub mod body;
pub mod client;
pub mod read;
pub mod server;

pub use body::ReplyBody;
pub use client::HttpClient;
pub use client::SendError;
pub use read::ReadError;
pub use read::read_bounded;
