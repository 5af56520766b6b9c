//! What can be believed of a folder, and what follows for a flow that it shows as open.

use std::time::Duration;

/// What the journal's writes outlast.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Durability {
    /// The process: a record is in the file once `write(2)` has taken it. What the platform's folder asks for.
    #[default]
    Process,
    /// The machine: a record counts once `fdatasync(2)` has returned.
    Power,
}

/// Whether the machine is the one that the last process of this folder ran on, without a start in between.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Boot {
    /// It is: nothing that was written is missing.
    Same,
    /// It has started since, or nobody can tell.
    Other,
}

/// How the file of records ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Tail {
    /// With a whole record.
    Whole,
    /// With bytes that are no record, and nothing after them.
    Torn,
    /// There are bytes that are no record, and whole records after them: something in its middle is gone.
    Gap,
}

/// What a folder shows when it is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Folder {
    /// There was no record at all.
    pub empty: bool,
    /// How its file ends.
    pub tail: Tail,
    /// Which start of the machine.
    pub boot: Boot,
    /// The last process wrote that it ended in order, and that was synced.
    pub closed: bool,
    /// What the last process's writes outlast.
    pub written: Durability,
}

/// What was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Loss {
    /// Nothing: an end in order, or the process alone. All that was written is there.
    Nothing,
    /// Power, with each write synced before it counted: what counted is there, what was never waited for may not be.
    Unsynced,
    /// Power, with writes that were never synced, or a file that was cut: whatever was written last may be gone.
    Unsaved,
    /// Records in the middle.
    Records,
    /// Everything.
    Folder,
    /// The folder is an older copy of the one that this relay had: whatever it shows has gone on elsewhere.
    OldCopy,
}

impl Folder {
    /// What was lost, by the folder alone. That it is an old copy, only others can tell.
    pub fn loss(&self) -> Loss {
        match (self.empty, self.tail, self.boot, self.written) {
            (true, ..) => Loss::Folder,
            (_, Tail::Gap, ..) => Loss::Records,
            // A kill in the middle of a write leaves this, and so does a file that was cut: nobody can tell them apart.
            (_, Tail::Torn, Boot::Same, _) => Loss::Unsaved,
            (_, _, Boot::Same, _) => Loss::Nothing,
            (_, Tail::Whole, ..) if self.closed => Loss::Nothing,
            (_, _, Boot::Other, Durability::Power) => Loss::Unsynced,
            (_, _, Boot::Other, Durability::Process) => Loss::Unsaved,
        }
    }
}

impl Loss {
    /// Whether what this relay knew of the world is lost with it, so that others weigh its word less.
    pub fn shakes(self) -> bool {
        self != Loss::Nothing
    }
}

/// What a repeat of a flow does, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// It is harmless, always, or for a while after the first call.
    Bounded,
    /// It must not be.
    Never,
}

/// What becomes of a flow that a folder shows as open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Held {
    /// What is written of its calls is all that there was.
    AsWritten,
    /// A call of which nothing is written may have gone out, at any time from then on.
    MayHaveRun(Duration),
    /// It is not this process's: nothing is done for it, and nobody is told.
    NotOurs,
}

/// What becomes of an open flow, taken on at `taken`. `call`: a call that may have run is written down.
///
/// Guards the two promises of a call: a flow that must not run twice has its call written, and under `power` synced,
/// before that goes out, so that under `power` no word of one proves that there was none; a flow that may be repeated for
/// a while does not wait for that sync, so after a loss of power its while is counted from the moment at which it was
/// taken on.
pub fn held(loss: Loss, repeat: Repeat, call: bool, taken: Duration) -> Held {
    match (loss, repeat) {
        (Loss::OldCopy, _) => Held::NotOurs,
        (Loss::Nothing, _) => Held::AsWritten,
        // A call that is written down is the first, or one after it: of a flow that never goes twice the only one.
        (_, Repeat::Never) if call => Held::AsWritten,
        (Loss::Unsynced, Repeat::Never) => Held::AsWritten,
        // Of a lost folder nothing is open; what is said here holds for one that is read nevertheless.
        (Loss::Unsaved | Loss::Records | Loss::Folder, Repeat::Never) => Held::MayHaveRun(taken),
        (_, Repeat::Bounded) => Held::MayHaveRun(taken),
    }
}

#[cfg(test)]
mod tests;
