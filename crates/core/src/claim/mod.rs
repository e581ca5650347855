//! Register of non-idempotent calls: each is sent at most once.
