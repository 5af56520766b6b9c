//! The points of consistent hashing.

use super::peer::Peer;

/// Points on the ring for each weight (nginx, `hash … consistent`; libketama).
const POINTS: u32 = 160;

/// The points of consistent hashing, sorted: crc32 of the host, a zero byte, the port, and the point before
/// (nginx, "compatible with Cache::Memcached::Fast" and libketama).
pub(super) fn points(peers: &[Peer]) -> Vec<(u32, u32)> {
    let mut points = Vec::new();
    for (at, peer) in peers.iter().enumerate() {
        let (host, port) = peer.name.rsplit_once(':').unwrap_or((&peer.name, ""));
        let mut base = crc32fast::Hasher::new();
        base.update(host.as_bytes());
        base.update(&[0]);
        base.update(port.as_bytes());
        let mut before: u32 = 0;
        for _ in 0..peer.weight * POINTS {
            let mut sum = base.clone();
            sum.update(&before.to_le_bytes());
            before = sum.finalize();
            points.push((before, at as u32));
        }
    }
    // Of two points in one place the first server's counts.
    points.sort();
    points.dedup_by_key(|p| p.0);
    points
}
