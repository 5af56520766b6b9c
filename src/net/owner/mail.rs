//! Mail flows: shared calls, and notifications of their ends.

use super::*;

impl Owner {
    /// Journal record of the end of a flow, including the notice that is due for it. `refused`: the call that the
    /// ledger may still show as sent is known not to have run.
    pub(super) fn end_record(
        &mut self, no: FlowNo, parcel: &Parcel, end: End, refused: bool, now: Duration,
    ) -> Record {
        let reply = self.replies.remove(&no);
        if matches!(end, End::Delivered | End::Over) {
            return Record::Ended(no, None);
        }
        let Some(envelope) = &parcel.mail else {
            return Record::Ended(no, Owed::of(&parcel.id, end));
        };
        tracing::info!(
            flow = no.0,
            id = parcel.id,
            to = envelope.to,
            "mail ends undelivered: {}",
            reply.as_deref().unwrap_or("-")
        );
        let bounce = self.mail.as_ref().and_then(|(s, _)| s.bounce.map(|to| (s.clone(), to)));
        let Some((settings, to)) = bounce.filter(|_| !envelope.from.is_empty()) else {
            return Record::Ended(no, None);
        };
        let progress = self.journal.ledger().open.get(&no).map(|(_, p)| p.clone()).unwrap_or_default();
        let permanent = reply.as_deref().is_some_and(|s| s.starts_with('5'));
        let (status, reason) = match end {
            End::Failed if permanent => ("5.0.0", "The server that it was for refused it for good."),
            End::Failed if progress.risk.or(progress.out.filter(|_| !refused)).is_some() => (
                "4.4.2",
                "The server that it was for took it and did not say what became of it. It may have been\r\n\
                  delivered, and has not been sent again.",
            ),
            End::Failed => ("4.4.7", "Its time ran out before any server took it."),
            _ => ("4.3.2", "There was no room for it. It has not been delivered, and may be sent again."),
        };
        let dsn = self.number();
        let id = format!("n{:x}-{}", now.as_micros(), dsn.0);
        let report = Report {
            hostname: &settings.hostname,
            id: &id,
            sender: &envelope.from,
            recipient: &envelope.to,
            status,
            reason,
            diagnostic: reply.as_deref(),
            original: &parcel.body,
            now,
        };
        let mail = Some(Envelope { from: String::new(), to: envelope.from.clone() });
        let parcel =
            Rc::new(Parcel { id: id.clone(), key: None, mail, routed: None, body: report.message().into() });
        let (deadline, class) = (now + settings.deadline, settings.class.clone());
        Record::Bounced(
            no,
            dsn,
            TakenFlow { deadline, class, tenant: None, destination: to.0, parcel, resend_of: None },
        )
    }

    /// Makes the mail calls of this step. Messages to one server share calls up to the limit of its kind; within a
    /// call, messages with the same sender and body share a transaction.
    pub(super) fn make_mail_calls(&mut self) {
        let mut by_server: BTreeMap<ServerNo, Vec<_>> = BTreeMap::new();
        for (server, give_up_at, destination, item) in std::mem::take(&mut self.mail_calls) {
            by_server.entry(server).or_default().push((give_up_at, destination, item));
        }
        for (no, orders) in by_server {
            let Some(server) = self.directory.get(no) else { continue };
            let (Some(address), Wire::Mail(dialect), Some((_, upstream))) =
                (server.address, server.wire, &self.mail)
            else {
                continue;
            };
            let per_call = self.per_call.get(server.kind.0).copied().unwrap_or(1).max(1);
            for orders in orders.chunks(per_call) {
                let mut transactions: Vec<Vec<Item>> = Vec::new();
                for (_, _, item) in orders {
                    let from = |i: &Item| i.parcel.mail.as_ref().map(|m| m.from.clone());
                    let same = |t: &&mut Vec<Item>| {
                        from(&t[0]) == from(item)
                            && (Rc::ptr_eq(&t[0].parcel.body, &item.parcel.body)
                                || t[0].parcel.body == item.parcel.body)
                    };
                    match transactions.iter_mut().find(same) {
                        Some(t) => t.push(item.clone()),
                        None => transactions.push(vec![item.clone()]),
                    }
                }
                let give_up_at = orders.iter().map(|o| o.0).min().unwrap_or_default();
                let give_up_at = self.clock.instant(give_up_at);
                let switch =
                    upstream.call(MailCall { server: no, address, dialect, give_up_at, transactions });
                for (_, _, item) in orders {
                    let call = OpenCall { switch: switch.clone(), server: no };
                    self.calls.insert((item.flow, item.attempt), call);
                }
            }
        }
    }
}
