//! Queue of records to disseminate; the number of sends per record grows with the logarithm of the membership.

use std::collections::BTreeMap;

use super::table::Member;

/// Number of times a machine sends a record for each doubling of the membership.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Default)]
pub(super) struct GossipQueue {
    records: BTreeMap<[u8; 4], (Member, u32)>,
}

impl GossipQueue {
    /// Adds a record, replacing an older one of the same machine.
    pub(super) fn add(&mut self, record: Member) {
        self.records.insert(record.ip, (record, 0));
    }

    /// Returns at most `max_records` of the records that have been sent the fewest times.
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
