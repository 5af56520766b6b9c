//! What is written.

use super::order::{CallOrder, Item};
use tokio::time::Instant;

pub(super) fn request(order: &CallOrder, now: Instant) -> Vec<u8> {
    let left = order.give_up_at.saturating_duration_since(now).as_millis();
    let [Item { parcel, .. }] = &order.items[..] else { return bulk_request(order, left) };
    let path = parcel.routed.as_ref().map_or("/inbox", |r| r.path.as_str());
    let mut text =
        format!("POST {path} HTTP/1.1\r\nHost: {}\r\nX-Correlation-Id: {}\r\n", order.address, parcel.id);
    if let Some(key) = &parcel.key {
        text.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    text.push_str(&format!("X-Time-Left-Ms: {left}\r\nContent-Length: {}\r\n\r\n", parcel.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&parcel.body);
    bytes
}

/// Several messages in one call: for each a line with id, key and length, and its bytes.
fn bulk_request(order: &CallOrder, left: u128) -> Vec<u8> {
    let mut body = Vec::new();
    for Item { parcel, .. } in &order.items {
        let key = parcel.key.as_deref().unwrap_or("-");
        body.extend(format!("{} {key} {}\r\n", parcel.id, parcel.body.len()).into_bytes());
        body.extend_from_slice(&parcel.body);
        body.extend(b"\r\n");
    }
    let head = format!(
        "POST /inbox/bulk HTTP/1.1\r\nHost: {}\r\nX-Time-Left-Ms: {left}\r\nContent-Length: {}\r\n\r\n",
        order.address,
        body.len()
    );
    [head.into_bytes(), body].concat()
}
