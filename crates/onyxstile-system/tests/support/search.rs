//! Breadth-first search over the states of a model; each state is visited once.

use std::collections::HashSet;

/// A state of a model.
pub trait Model: Sized {
    /// A possible transition.
    type Action;
    /// A deliberate deviation of the model from correct behaviour.
    type Fault: Copy;

    fn actions(&self) -> Vec<Self::Action>;
    fn after(&self, action: Self::Action, fault: Self::Fault) -> Self;
    /// Equal for states that need not be distinguished.
    fn digest(&self) -> u128;
    /// The violated rule, if any.
    fn violation(&self) -> Option<&String>;
}

/// Result of a search.
pub struct SearchResult {
    pub states: usize,
    /// All states up to this number of steps from the start were visited.
    pub depth: usize,
    /// Whether all states within the limits were visited.
    pub is_exhaustive: bool,
    pub violation: Option<String>,
}

impl SearchResult {
    /// Prints the number of visited states and the depth.
    pub fn report(&self, name: &str) {
        let coverage = if self.is_exhaustive { "all" } else { "not all" };
        println!("{name}: {} states to depth {}, {coverage} within the limits", self.states, self.depth);
    }
}

/// Searches until a rule is violated, all states within the limits were visited, or `max_states` states were visited
/// (`MODEL_STATES` overrides that number).
pub fn search<M: Model>(start: M, fault: M::Fault, max_states: usize) -> SearchResult {
    let max_states = super::env_number("MODEL_STATES", max_states as u64) as usize;
    let mut visited = HashSet::from([start.digest()]);
    let mut level = vec![start];
    let mut depth = 0;
    while !level.is_empty() && visited.len() < max_states {
        let mut next_level = Vec::new();
        for state in level {
            for action in state.actions() {
                let next = state.after(action, fault);
                if let Some(violation) = next.violation().cloned() {
                    return SearchResult {
                        states: visited.len(),
                        depth,
                        is_exhaustive: false,
                        violation: Some(violation),
                    };
                }
                if visited.insert(next.digest()) {
                    next_level.push(next);
                }
            }
        }
        level = next_level;
        depth += 1;
    }
    SearchResult { states: visited.len(), depth, is_exhaustive: level.is_empty(), violation: None }
}
