//! Exhaustive breadth-first search over the states of a small model.

use std::hash::Hash;

use pathfinding::prelude::bfs;

/// Result of a search.
pub struct Found<S> {
    /// Number of states that were expanded.
    pub states: usize,
    /// Shortest path to a state that violates an invariant, if there is one.
    pub path: Option<Vec<S>>,
}

/// Visits all reachable states, breadth first, until one violates an invariant.
pub fn search<S: Clone + Eq + Hash>(
    start: &S,
    next: impl Fn(&S) -> Vec<S>,
    is_broken: impl Fn(&S) -> bool,
) -> Found<S> {
    let mut states = 0;
    let successors = |state: &S| {
        states += 1;
        next(state)
    };
    let path = bfs(start, successors, |state| is_broken(state));
    Found { states, path }
}
