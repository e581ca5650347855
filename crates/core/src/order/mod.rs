//! Orders to upstreams: who gives them, and under which fencing number.

pub mod lease;
