//! Exhaustive search over the states of a small specification.

use std::hash::Hash;

use pathfinding::prelude::bfs;

/// What a search found.
pub struct Found<S> {
    /// States that were expanded.
    pub states: usize,
    /// Shortest way to a state that breaks a promise, if there is one.
    pub path: Option<Vec<S>>,
}

/// Visits all states, breadth first, until one breaks a promise.
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
