//! What the keeper writes to the store: the changes of a step, and those that an earlier one could not write.

use super::{FACETS, Keeper, SyncPolicy, shelf};
use crate::core::FlowNo;
use onyxstile_store::{Change, Error, Sync};
use onyxstile_undelivered::Kept;

/// Bytes of one commit, at most, where the store takes so many.
const CHUNK: usize = 128 * 1024;

/// Whether a change is the last of those that one message takes: its body's comes first.
fn ends_a_message(change: &Change<FACETS>) -> bool {
    match change {
        Change::Put { key, .. } => key % 2 == 0,
        Change::Delete(key) => key % 2 == 1,
    }
}

impl Keeper {
    /// Writes what the step changed. The ends of `resends` may be written to the journal if this says so; otherwise
    /// they wait, for without its end here a resend must look open there.
    pub fn write(&mut self, resends: Vec<FlowNo>, begins: bool) -> Result<Vec<FlowNo>, Error> {
        let (mut changes, mut ends) = std::mem::take(&mut self.late);
        changes.append(&mut self.staged);
        ends.extend(resends);
        let lasting = self.sync == SyncPolicy::All || begins && self.sync == SyncPolicy::Begins;
        let sync = if lasting { Sync::Lasting } else { Sync::Written };
        // One commit takes what fits a frame; both records of a message are in one.
        while !changes.is_empty() {
            let most = CHUNK.min(self.shelf.store.commit_max() - 64);
            let (mut bytes, mut fits) = (0, 0);
            for (n, change) in changes.iter().enumerate() {
                bytes += if let Change::Put { value, .. } = change { value.len() + 64 } else { 16 };
                if bytes > most && fits > 0 {
                    break;
                }
                if ends_a_message(change) {
                    fits = n + 1;
                }
            }
            let rest = changes.split_off(if fits > 0 { fits } else { changes.len() });
            match self.shelf.store.commit(&changes, sync) {
                Ok(()) => changes = rest,
                Err(Error::TooLarge(bytes)) => {
                    // It never will be written: what it was about is as it was before.
                    self.counts.errors += 1;
                    tracing::error!("undelivered: {bytes} bytes are more than the store takes at once");
                    changes = rest;
                }
                Err(e) => {
                    self.counts.errors += 1;
                    changes.extend(rest);
                    self.late = (changes, ends);
                    return Err(e);
                }
            }
        }
        Ok(ends)
    }

    /// Gives up what was staged for the beginning of a resend that was not written.
    pub fn take_back(&mut self, kept: &Kept) {
        self.late.0.retain(|c| *c != shelf::put(kept));
    }

    /// Whether something waits to be written.
    pub fn is_late(&self) -> bool {
        !self.late.0.is_empty()
    }
}
