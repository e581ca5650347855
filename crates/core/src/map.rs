//! Hash maps with a fast hasher.
//!
//! The hasher does not resist attacks by chosen keys that collide. Code that stores keys of callers
//! bounds their number.

use rustc_hash::FxBuildHasher;

/// Hash map with a fast, deterministic hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;

/// Hash set with a fast, deterministic hasher.
pub type Set<T> = std::collections::HashSet<T, FxBuildHasher>;
