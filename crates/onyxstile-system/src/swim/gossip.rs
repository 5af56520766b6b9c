//! Records that are to be spread, each on a number of datagrams that grows with the logarithm of the membership.

use std::collections::BTreeMap;

use super::table::Member;

/// Copies of a record that a machine sends for each doubling of the membership.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Default)]
pub(super) struct GossipQueue {
    records: BTreeMap<[u8; 4], (Member, u32)>,
}

impl GossipQueue {
    /// Adds a record, in the place of an older one about the same machine.
    pub(super) fn add(&mut self, record: Member) {
        self.records.insert(record.ip, (record, 0));
    }

    /// At most `most` records that have been sent least.
    pub(super) fn take(&mut self, max_records: usize, members: usize) -> Vec<Member> {
        let max_sends = SENDS_PER_DOUBLING * (usize::BITS - (members + 1).leading_zeros());
        let mut probe_order: Vec<(u32, [u8; 4])> =
            self.records.iter().map(|(ip, (_, sent))| (*sent, *ip)).collect();
        probe_order.sort_unstable();
        probe_order.truncate(max_records);
        let mut taken = Vec::with_capacity(probe_order.len());
        for (_, ip) in probe_order {
            let Some((record, sent)) = self.records.get_mut(&ip) else { continue };
            *sent += 1;
            taken.push(record.clone());
        }
        self.records.retain(|_, (_, sent)| *sent < max_sends);
        taken
    }
}
