//! A client hands in again what it handed in at another relay before, and marks it so. Whether it may be taken on here.
//!
//! Every relay may know of it. One that does not answer may hold it, or have run it, however long it has been silent: to be
//! cut off from here is not to be cut off from clients and partners. Then the client is asked to come again, which is
//! harmless and ends with the flow's own time. Nothing rests on an answer: without one, a flow that may not be repeated is
//! not taken on.

use onyxstile_peers::Fate;
use std::time::Duration;

/// What one relay is to such a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MayKnow {
    /// It answered that this is what became of it.
    Fate(Fate),
    /// It answered that it does not know it, and knows all that it took on in this time back.
    Unknown(Duration),
    /// It did not answer.
    Silent,
}

/// What becomes of the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Claim {
    /// Nobody can have run it: it is taken on like any other.
    Free,
    /// It was taken on, or delivered, elsewhere: the client is told that it is.
    Theirs,
    /// It ended elsewhere and may have run: the client is told that it has failed.
    Over,
    /// Nobody can tell now: the client may come again.
    Later,
}

/// Decides. `life`: how long a flow of its class lives from the first time it is handed in.
pub fn decide(others: &[MayKnow], life: Duration) -> Claim {
    let fates = others.iter().filter_map(|o| if let MayKnow::Fate(f) = o { Some(*f) } else { None });
    match fates.max() {
        Some(Fate::Taken | Fate::Delivered) => return Claim::Theirs,
        Some(Fate::Ended) => return Claim::Over,
        Some(Fate::Returned) | None => {}
    }
    let cannot_have = |o: &MayKnow| match o {
        MayKnow::Fate(_) => true,
        // What it took on earlier is over by its own time, and so is the client's flow.
        MayKnow::Unknown(back) => *back >= life,
        MayKnow::Silent => false,
    };
    if others.iter().all(cannot_have) { Claim::Free } else { Claim::Later }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flow_is_free_only_if_nobody_can_have_run_it() {
        let s = Duration::from_secs;
        let knows = MayKnow::Unknown(s(100));
        let is = |others: &[MayKnow]| decide(others, s(28));
        assert_eq!(is(&[]), Claim::Free);
        assert_eq!(is(&[knows, MayKnow::Fate(Fate::Returned)]), Claim::Free);
        assert_eq!(is(&[knows, MayKnow::Unknown(s(27))]), Claim::Later);
        assert_eq!(is(&[knows, MayKnow::Silent]), Claim::Later);
        // Word of it goes before all silence.
        assert_eq!(is(&[MayKnow::Silent, MayKnow::Fate(Fate::Taken)]), Claim::Theirs);
        assert_eq!(is(&[MayKnow::Fate(Fate::Ended), MayKnow::Fate(Fate::Returned)]), Claim::Over);
        assert_eq!(is(&[MayKnow::Fate(Fate::Ended), MayKnow::Fate(Fate::Delivered)]), Claim::Theirs);
    }
}
