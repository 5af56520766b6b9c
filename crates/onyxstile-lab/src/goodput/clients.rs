//! What clients do when a turn is refused or fails.

use rand_pcg::Pcg64Mcg;

use super::programs::roll;

/// Tries of a turn after a refusal, beside the first.
const TRIES_MORE: u32 = 1;
/// Times that a turn which has failed is sent anew.
const SENT_ANEW: u32 = 2;
/// The time before it is sent anew, in ms: the least, and what is added at most.
const ANEW_AFTER_MS: (f64, f64) = (100.0, 300.0);
/// A client waits for a refusal's end this part of its deadline at most.
const WAIT_PART: f64 = 1.0 / 3.0;
/// The deadline of a try, in ms.
pub(super) const DEADLINE_MS: f64 = 5000.0;
/// A client gives a stream up after this silence, in ms.
pub(super) const SILENCE_MS: f64 = 3200.0;

/// The tries of one turn so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Tries {
    refused: u32,
    anew: u32,
}

impl Tries {
    /// After how many ms a turn is tried again that was refused; `None` if it is given up.
    pub(super) fn refused(&mut self, come_back_ms: f64, random: &mut Pcg64Mcg) -> Option<f64> {
        self.refused += 1;
        if self.refused <= TRIES_MORE {
            return Some(come_back_ms.min(DEADLINE_MS * WAIT_PART));
        }
        self.failed(random)
    }

    /// The same for one that has failed.
    pub(super) fn failed(&mut self, random: &mut Pcg64Mcg) -> Option<f64> {
        self.anew += 1;
        self.refused = 0;
        (self.anew <= SENT_ANEW).then(|| ANEW_AFTER_MS.0 + ANEW_AFTER_MS.1 * roll(random))
    }
}
