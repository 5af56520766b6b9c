//! Operator orders to the owner. Each call processes a bounded part and returns the position at which to continue.

use super::*;
use crate::net::control::{Answer, Order, What};
use crate::net::undelivered::shelf::Filter;
use onyxstile_undelivered::{Kept, State};
use serde_json::json;

/// Maximum number of messages per answer, without and with bodies.
const ITEMS: (usize, usize) = (200, 8);

impl Owner {
    pub(super) fn control(&mut self, order: Order) -> Answer {
        let now = self.clock.now();
        let Some(undelivered) = &mut self.undelivered else {
            return Answer::error("nothing is kept: the operator's file has no [undelivered]");
        };
        match order {
            Order::List { filter, after, bodies } => {
                let most = if bodies { ITEMS.1 } else { ITEMS.0 };
                let (kept, next) = undelivered.shelf.look(&filter, after, most);
                let items = kept.iter().map(|k| {
                    let body = bodies.then(|| undelivered.shelf.body(k.key).ok().flatten()).flatten();
                    item(k, body.as_ref().map(|b| &b.body[..]))
                });
                Answer { items: items.collect(), next, ..Answer::default() }
            }
            Order::Change { filter, after, what, by } => self.change(&filter, after, what, &by, now),
            Order::Stats => {
                let (messages, bytes, open) = undelivered.planner.totals();
                let states =
                    State::ALL.map(|s| (s.name().to_string(), undelivered.shelf.by_state(s).count()));
                let store = &undelivered.shelf.store;
                let stats = json!({
                    "messages": messages,
                    "bytes": bytes,
                    "resends_open": open,
                    "states": states.into_iter().collect::<BTreeMap<_, _>>(),
                    "destinations": undelivered.planner.lanes(),
                    "store": {
                        "live_bytes": store.live_bytes(),
                        "used_bytes": store.used_bytes(),
                        "capacity_bytes": store.capacity(),
                        "takes_writes": store.writes(),
                    },
                    "since_start": undelivered.counts,
                });
                Answer { items: vec![stats], ..Answer::default() }
            }
        }
    }

    fn change(&mut self, filter: &Filter, after: Option<u64>, what: What, by: &str, now: Duration) -> Answer {
        let Some(undelivered) = &mut self.undelivered else { return Answer::default() };
        let stamp = undelivered.machine.stamp(now);
        let (found, next) = undelivered.shelf.look(filter, after, ITEMS.0);
        let mut answer = Answer { next, ..Answer::default() };
        for mut kept in found {
            let changed = match what {
                What::Resend => kept.release(false, by, stamp).is_ok(),
                What::ResendMayHaveRun => kept.release(true, by, stamp).is_ok(),
                What::Hold => kept.hold(by, stamp).is_ok(),
                What::Discard if kept.is() == State::Resending => false,
                What::Discard => {
                    tracing::info!(key = kept.key, id = kept.id, by, "undelivered: discarded");
                    undelivered.remove(kept.key);
                    answer.done += 1;
                    continue;
                }
            };
            if changed {
                tracing::info!(key = kept.key, id = kept.id, by, ?what, "undelivered: changed");
                undelivered.put(&kept);
                answer.done += 1;
            } else {
                answer.left += 1;
            }
        }
        // An operator's change must be durable before it is confirmed.
        match undelivered.write(std::mem::take(&mut self.resend_ends), true) {
            Ok(ends) => {
                for no in ends {
                    self.resends.remove(&no);
                    self.unwritten.push(Record::Ended(no, None));
                }
                answer
            }
            Err(e) => Answer::error(format!("the store: {e}; it is tried again")),
        }
    }
}

/// JSON representation of an undelivered message.
pub fn item(kept: &Kept, body: Option<&[u8]>) -> serde_json::Value {
    let mut item = json!({
        "key": kept.key,
        "id": kept.id,
        "class": kept.class,
        "customer": kept.customer,
        "destination": crate::net::mail::written(DestinationId(kept.destination)),
        "bytes": kept.bytes,
        "failed_ms": kept.failed.wall_ms,
        "state": kept.is().name(),
        "tries": kept.tries,
        "not_before_ms": kept.not_before_ms,
        "history": kept.history.iter()
            .map(|s| json!({"at_ms": s.at_ms, "what": s.what, "by": s.by})).collect::<Vec<_>>(),
    });
    if !kept.recipient.is_empty() {
        item["recipient"] = kept.recipient.clone().into();
    }
    if let Some(risk) = &kept.risk {
        item["may_have_run"] = json!({"at_ms": risk.at.wall_ms, "server": risk.server});
    }
    if let Some(body) = body {
        match std::str::from_utf8(body) {
            Ok(text) => item["body"] = text.into(),
            Err(_) => item["body_hex"] = body.iter().map(|b| format!("{b:02x}")).collect::<String>().into(),
        }
    }
    item
}
