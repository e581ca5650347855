//! Input and output of a process: files, gossip datagrams, HTTP and gRPC. Each kind is a module of
//! its own, so that it can change independently.

pub mod disk;
pub mod gossip;
pub mod http;
pub mod rpc;
