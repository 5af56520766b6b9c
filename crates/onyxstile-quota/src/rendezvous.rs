//! Who holds what of a quota from the start: each relay of the roster an even part, whole units, the odd ones by rendezvous
//! hashing, so that small quotas of different customers do not all lie at the same relays.

/// The digest of a name: FNV-1a, 64 bits, and mixed.
pub fn digest(parts: &[&str]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    mix(hash)
}

/// Spreads a number over all bits.
pub fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// A relay's place for a quota among others': the highest comes first.
pub fn score(quota: u64, node: u16) -> u64 {
    mix(quota ^ mix(u64::from(node) + 1))
}

/// The units of a relay, of so many that a quota has, where these relays share them. What all of them hold adds up to the units.
pub fn share(quota: u64, units: u32, members: &[u16], node: u16) -> u32 {
    if !members.contains(&node) {
        return 0;
    }
    let among = members.len() as u32;
    let mine = (score(quota, node), node);
    let before = members.iter().filter(|m| (score(quota, **m), **m) > mine).count() as u32;
    units / among + u32::from(before < units % among)
}
