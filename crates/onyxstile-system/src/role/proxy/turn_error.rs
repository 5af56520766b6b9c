//! Reasons why a turn can't run, and the timeout for finding out.

use std::time::Duration;

/// Timeout for storage requests before a turn.
pub(super) const PREPARE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Reason why a turn can't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TurnError {
    /// The budget is spent.
    BudgetSpent,
    /// The previous turn does not exist.
    PreviousNotFound,
    /// Too few storage machines responded for a conclusive result.
    Indeterminate,
}
