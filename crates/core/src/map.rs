//! Hash maps with a fast hasher.
//!
//! The hasher does not resist chosen keys. Keys that callers choose are bounded in number where
//! they are stored.

use rustc_hash::FxBuildHasher;

/// Hash map with a fast, deterministic hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;

/// Hash set with a fast, deterministic hasher.
pub type Set<T> = std::collections::HashSet<T, FxBuildHasher>;
