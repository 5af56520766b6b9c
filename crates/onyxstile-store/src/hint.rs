//! A closed segment's index, written beside it: what recovery reads in place of the segment. It is a help and never
//! believed against the log: one that is spoilt, or names more than its segment holds, is left out.

use crate::frame::{Found, Head};

const MAGIC: [u8; 8] = *b"\x89oxIDX\r\n";

/// What a hint says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Hint<const F: usize> {
    pub head: Head,
    /// The number after its last frame's.
    pub next: u64,
    /// Length of the segment as far as it is good.
    pub length: u64,
    pub changes: Vec<Found<F>>,
}

impl<const F: usize> Hint<F> {
    pub(crate) fn write(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        for n in [u64::from(self.head.facets), self.head.id, self.head.first, self.next, self.length] {
            out.extend(n.to_le_bytes());
        }
        for change in &self.changes {
            match change {
                Found::Delete(key) => {
                    out.push(0);
                    out.extend(key.to_le_bytes());
                }
                Found::Put { key, facets, at, length } => {
                    out.push(if facets.is_some() { 2 } else { 1 });
                    out.extend(key.to_le_bytes());
                    out.extend((*at as u32).to_le_bytes());
                    out.extend((*length as u32).to_le_bytes());
                    facets.iter().flatten().for_each(|f| out.extend(f.to_le_bytes()));
                }
            }
        }
        out.extend(crc32fast::hash(&out).to_le_bytes());
        out
    }

    pub(crate) fn read(bytes: &[u8]) -> Option<Hint<F>> {
        let (content, sum) = bytes.split_last_chunk::<4>()?;
        if u32::from_le_bytes(*sum) != crc32fast::hash(content) {
            return None;
        }
        let mut rest = content.strip_prefix(&MAGIC)?;
        let mut number = || take::<8>(&mut rest).map(u64::from_le_bytes);
        let (facets, id, first) = (number()?, number()?, number()?);
        let (next, length) = (number()?, number()?);
        let mut changes = Vec::new();
        while !rest.is_empty() {
            let [kind] = take(&mut rest)?;
            let key = u64::from_le_bytes(take(&mut rest)?);
            if kind == 0 {
                changes.push(Found::Delete(key));
                continue;
            }
            let at = u32::from_le_bytes(take(&mut rest)?) as usize;
            let size = u32::from_le_bytes(take(&mut rest)?) as usize;
            if (at + size) as u64 > length {
                return None;
            }
            let facets = if kind == 2 {
                let mut facets = [0; F];
                for facet in &mut facets {
                    *facet = u64::from_le_bytes(take(&mut rest)?);
                }
                Some(facets)
            } else {
                None
            };
            changes.push(Found::Put { key, facets, at, length: size });
        }
        let head = Head { facets: u32::try_from(facets).ok()?, id, first };
        (head.facets as usize == F).then_some(Hint { head, next, length, changes })
    }
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (first, after) = rest.split_first_chunk()?;
    *rest = after;
    Some(*first)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hint_is_read_as_written_and_not_with_any_byte_changed_or_missing() {
        let changes = vec![
            Found::Put { key: 7, facets: Some([1, 2]), at: 60, length: 30 },
            Found::Delete(9),
            Found::Put { key: 8, facets: None, at: 90, length: 0 },
        ];
        let hint = Hint { head: Head { facets: 2, id: 3, first: 40 }, next: 42, length: 90, changes };
        let bytes = hint.write();
        assert_eq!(Hint::read(&bytes), Some(hint));
        for n in 0..bytes.len() {
            assert_eq!(Hint::<2>::read(&bytes[..n]), None);
            let mut spoilt = bytes.clone();
            spoilt[n] ^= 0x10;
            assert_eq!(Hint::<2>::read(&spoilt), None, "byte {n}");
        }
        assert_eq!(Hint::<3>::read(&bytes), None);
    }
}
