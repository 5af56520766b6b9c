//! Notes, whole, cut and too long.

use super::*;
use crate::facts::{Kind, Sight};

/// The longest of each kind fits, comes back as it was, and no cut or longer form of it is read.
#[test]
fn every_note_fits_a_datagram_and_nothing_else_is_read() {
    let m = u32::MAX;
    let life = Life { born: m, folder: m, start: m, process: u16::MAX, turn: u16::MAX };
    let about = About { life, up_s: m, sound_s: m, list_rev: u64::MAX, clock_ms: u64::MAX };
    let fact = Fact { of: m, age_ms: m, kind: Kind::Limit(m) };
    let sight = Fact { kind: Kind::Sight(Sight::Warming), ..fact };
    let notes = [
        Note::Ask(m, Question::Who),
        Note::Ask(m, Question::Ids(vec![u64::MAX; DIGESTS_MAX])),
        Note::Tell(m, Answer::Who(about, Some(life))),
        Note::Tell(m, Answer::Facts(vec![fact; FACTS_MAX], true)),
        Note::Tell(m, Answer::Facts(vec![sight; FACTS_MAX], false)),
        Note::Tell(m, Answer::Ids(vec![Some(Fate::Ended); DIGESTS_MAX], m)),
    ];
    for note in notes {
        let letter = Letter { fleet: m, from: NodeNo(u16::MAX), life, note };
        let bytes = letter.write().unwrap_or_else(|| panic!("too long: {letter:?}"));
        assert_eq!(Letter::read(&bytes), Some(letter));
        for cut in 0..bytes.len() {
            assert_eq!(Letter::read(&bytes[..cut]), None, "cut at {cut}");
        }
        assert_eq!(Letter::read(&[&bytes[..], &[0]].concat()), None);
        assert_eq!(Letter::read(&[&[VERSION + 1], &bytes[1..]].concat()), None);
    }
    let long = Note::Tell(1, Answer::Facts(vec![fact; FACTS_MAX + 20], true));
    assert_eq!(Letter { fleet: m, from: NodeNo(1), life, note: long }.write(), None);
}
