//! What folders say of themselves, case by case.

use super::*;

const ALL: [Loss; 6] =
    [Loss::Nothing, Loss::Unsynced, Loss::Unsaved, Loss::Records, Loss::Folder, Loss::OldCopy];

#[test]
fn a_folder_says_of_itself_what_it_cannot_know_to_be_complete() {
    let whole = Folder {
        empty: false,
        tail: Tail::Whole,
        boot: Boot::Same,
        closed: false,
        written: Durability::Power,
    };
    let (other, process) = (Folder { boot: Boot::Other, ..whole }, Durability::Process);
    for (folder, loss) in [
        (whole, Loss::Nothing),
        (Folder { tail: Tail::Torn, ..whole }, Loss::Unsaved),
        (Folder { tail: Tail::Torn, closed: true, ..whole }, Loss::Unsaved),
        (Folder { written: process, ..whole }, Loss::Nothing),
        (Folder { tail: Tail::Torn, written: process, ..whole }, Loss::Unsaved),
        (other, Loss::Unsynced),
        (Folder { tail: Tail::Torn, ..other }, Loss::Unsynced),
        (Folder { closed: true, ..other }, Loss::Nothing),
        // It ended in order, and yet bytes came after that.
        (Folder { closed: true, tail: Tail::Torn, ..other }, Loss::Unsynced),
        (Folder { written: process, ..other }, Loss::Unsaved),
        (Folder { tail: Tail::Gap, ..whole }, Loss::Records),
        (Folder { tail: Tail::Gap, closed: true, ..other }, Loss::Records),
        (Folder { empty: true, ..other }, Loss::Folder),
    ] {
        assert_eq!(folder.loss(), loss, "{folder:?}");
    }
}

/// For every loss: what may have run is never taken for what did not, and nothing is given up that need not be.
#[test]
fn no_word_of_a_call_proves_that_there_was_none_only_where_it_was_waited_for() {
    let at = Duration::from_secs(7);
    for loss in ALL {
        let never = held(loss, Repeat::Never, false, at);
        let proved = matches!(loss, Loss::Nothing | Loss::Unsynced);
        assert_eq!(never == Held::AsWritten, proved, "{loss:?}");
        let bounded = held(loss, Repeat::Bounded, false, at);
        assert_eq!(bounded == Held::AsWritten, loss == Loss::Nothing, "{loss:?}");
        assert_eq!(held(loss, Repeat::Never, true, at) == Held::NotOurs, loss == Loss::OldCopy);
    }
}
