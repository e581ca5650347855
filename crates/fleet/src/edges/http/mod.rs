//! HTTP towards callers and upstreams.
