//! Breadth-first search over the states of a model, each once.

use std::collections::HashSet;

/// A state of a model.
pub trait Model: Sized {
    /// What may happen next.
    type Action;
    /// How a variant departs from what should be done.
    type Fault: Copy;

    fn actions(&self) -> Vec<Self::Action>;
    fn after(&self, action: Self::Action, fault: Self::Fault) -> Self;
    /// Alike for states that need not be told apart.
    fn digest(&self) -> u128;
    /// What rule is broken here.
    fn violation(&self) -> Option<&String>;
}

/// What a search came to.
pub struct SearchResult {
    pub states: usize,
    /// All states up to this many steps from the start were met.
    pub depth: usize,
    /// Whether there are no more states within the bounds.
    pub is_exhaustive: bool,
    pub violation: Option<String>,
}

impl SearchResult {
    /// Prints how far it went.
    pub fn report(&self, name: &str) {
        let whole = if self.is_exhaustive { "all" } else { "not all" };
        println!("{name}: {} states to depth {}, {whole} within the bounds", self.states, self.depth);
    }
}

/// Searches until a rule is broken or all states within the bounds were met, or `most` of them (`MODEL_STATES` sets another
/// number).
pub fn search<M: Model>(start: M, fault: M::Fault, most: usize) -> SearchResult {
    let most = super::variable("MODEL_STATES", most as u64) as usize;
    let mut met = HashSet::from([start.digest()]);
    let mut level = vec![start];
    let mut depth = 0;
    while !level.is_empty() && met.len() < most {
        let mut next_level = Vec::new();
        for state in level {
            for action in state.actions() {
                let next = state.after(action, fault);
                if let Some(violation) = next.violation().cloned() {
                    return SearchResult {
                        states: met.len(),
                        depth,
                        is_exhaustive: false,
                        violation: Some(violation),
                    };
                }
                if met.insert(next.digest()) {
                    next_level.push(next);
                }
            }
        }
        level = next_level;
        depth += 1;
    }
    SearchResult { states: met.len(), depth, is_exhaustive: level.is_empty(), violation: None }
}
