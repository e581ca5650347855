//! HTTP server and clients.
//!
//! [`server`] accepts connections from callers, [`client`] and [`pool`] connect to upstreams,
//! [`body`] holds the bodies of responses and [`read`] reads bodies. All of them bound bytes and
//! time. [`framing`] tells how the end of a body is marked.

pub mod body;
pub mod client;
pub mod framing;
pub mod pool;
pub mod read;
pub mod server;
pub mod socket;

pub use body::Part;
pub use body::ReplyBody;
pub use client::HttpClient;
pub use client::SendError;
pub use framing::Framing;
pub use read::ReadError;
pub use read::read_bounded;
