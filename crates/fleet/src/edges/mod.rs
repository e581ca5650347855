//! What touches the world outside a process. Each kind of edge is one module, so that it can change
//! alone.

pub mod disk;
pub mod gossip;
pub mod http;
pub mod rpc;
