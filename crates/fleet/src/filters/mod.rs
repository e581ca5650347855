//! The chain that each caller's request passes through.
