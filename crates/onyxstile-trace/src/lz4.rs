//! The beginning of an LZ4 block (LZ4 Block Format Description 1.5) that was cut off. Whole blocks are the crate's
//! matter; it has no word for a part.

/// A match repeats four bytes at least.
const MATCH_MIN: usize = 4;

/// As much as the beginning of a block gives, up to a length. What is not well-formed ends it.
pub(crate) fn beginning(stored: &[u8], most: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(most.min(stored.len().saturating_mul(4)));
    let mut from = stored.iter().copied();
    while out.len() < most && sequence(&mut from, &mut out, most).is_some() {}
    out
}

/// One sequence: literals, then a match.
fn sequence(from: &mut impl Iterator<Item = u8>, out: &mut Vec<u8>, most: usize) -> Option<()> {
    let token = from.next()?;
    for _ in 0..length(usize::from(token >> 4), from)? {
        if out.len() >= most {
            return None;
        }
        out.push(from.next()?);
    }
    let offset = usize::from(u16::from_le_bytes([from.next()?, from.next()?]));
    let begin = out.len().checked_sub(offset).filter(|_| offset > 0)?;
    let repeat = length(usize::from(token & 15), from)? + MATCH_MIN;
    for n in begin..begin + repeat.min(most - out.len()) {
        // What a match repeats may be what it has just written.
        out.push(*out.get(n)?);
    }
    Some(())
}

/// A length: four bits, and more bytes while each is 255.
fn length(bits: usize, from: &mut impl Iterator<Item = u8>) -> Option<usize> {
    let mut sum = bits;
    if bits == 15 {
        loop {
            let more = from.next()?;
            sum = sum.checked_add(usize::from(more))?;
            if more != 255 {
                break;
            }
        }
    }
    Some(sum)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_block_cut_at_any_byte_gives_a_beginning_that_grows_to_the_whole() {
        let text: Vec<u8> = (0..900u32)
            .flat_map(|n| format!("flow {} of {} at {};", n % 7, n / 13, n * n).into_bytes())
            .collect();
        let stored = lz4_flex::block::compress(&text);
        assert!(stored.len() < text.len() / 2);
        let mut before = 0;
        for cut in 0..=stored.len() {
            let got = beginning(&stored[..cut], text.len());
            assert!(text.starts_with(&got) && got.len() >= before, "cut at {cut}");
            before = got.len();
        }
        assert_eq!(before, text.len());
        assert_eq!(beginning(&stored, 100), text[..100]);
    }

    #[test]
    fn what_is_not_well_formed_ends_it_within_the_bound() {
        // A match that reaches before the beginning, one of offset 0, and a run without end.
        for stored in [&[0x10, b'a', 9, 0, 0][..], &[0x10, b'a', 0, 0, 0], &[0xf0, 255, 255, 255]] {
            assert!(beginning(stored, 1000).len() <= 1);
        }
        let run = [0x1f, b'a', 1, 0, 255, 255, 255, 0];
        assert_eq!(beginning(&run, 50), [b'a'; 50]);
    }
}
