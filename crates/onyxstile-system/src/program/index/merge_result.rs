//! Result of merging a record into the index.

use super::RecordNumber;

/// Result of merging a record into the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MergeResult {
    /// Whether the record was new or newer than the stored one.
    pub has_changed: bool,
    /// Record that is no longer needed: the replaced one, or the merged one if the same or a newer one is stored.
    pub obsolete: Option<RecordNumber>,
}

impl MergeResult {
    pub(super) fn changed(replaced: Option<RecordNumber>) -> MergeResult {
        MergeResult { has_changed: true, obsolete: replaced }
    }

    pub(super) fn unchanged(held: RecordNumber, number: RecordNumber) -> MergeResult {
        MergeResult { has_changed: false, obsolete: (held != number).then_some(number) }
    }
}
