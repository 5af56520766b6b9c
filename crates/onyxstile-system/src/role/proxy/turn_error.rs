//! Why a turn can't run, and how long the storage machines have to say whether it may.

use std::time::Duration;

/// How long the storage machines have for what comes before a turn.
pub(super) const PREPARE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Why a turn can't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TurnError {
    /// The budget is spent.
    BudgetSpent,
    /// There is no such turn to go on from.
    PreviousNotFound,
    /// Too few storage machines answer to be sure.
    Indeterminate,
}
