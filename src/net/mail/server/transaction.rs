//! A mail session's message: read, handed in, answered.

use super::*;

impl Session<'_> {
    pub(super) async fn data(&mut self, rest: &str) -> Result<(), Over> {
        if !rest.is_empty() {
            return self.fault("501 5.5.4 DATA takes nothing").await;
        }
        if self.mail.recipients.is_empty() {
            return self.fault("503 5.5.1 nobody to send it to").await;
        }
        if self.lines.has_more() {
            // Guards against commands slipped in as data or data as commands: nothing may come before the
            // client has seen that its message is wanted.
            self.say("503 5.5.0 wait for the reply to DATA").await?;
            return Err(Over::Quit);
        }
        self.say("354 end with a dot on a line of its own").await?;
        let Session { edge, .. } = *self;
        let read = timeout(edge.settings.times.client_data, self.lines.data(edge.settings.max_size));
        let body = read.await.map_err(|_| Over::Late)??;
        let mail = std::mem::take(&mut self.mail);
        let body = match body {
            Ok(body) if hops(&body) > HOPS_MAX => Err("554 5.4.6 it goes round in circles"),
            Ok(body) => Ok(body),
            Err(DataFault::TooLarge) => Err("552 5.3.4 too large"),
            Err(DataFault::LongLine) => Err("554 5.6.0 a line is too long"),
            Err(DataFault::BareEnd) => Err("554 5.6.0 a bare CR or LF"),
        };
        match body {
            Ok(body) => self.hand_in(mail, &body).await,
            Err(line) => self.answer_all(&mail, |_| line.to_string()).await,
        }
    }

    /// A reply for each recipient, or one for all, as the dialect has it.
    async fn answer_all(&mut self, mail: &Transaction, line: impl Fn(usize) -> String) -> Result<(), Over> {
        let replies = if self.dialect == Dialect::Lmtp { mail.recipients.len() } else { 1 };
        for i in 0..replies {
            self.say(&line(i)).await?;
        }
        Ok(())
    }

    async fn hand_in(&mut self, mail: Transaction, body: &[u8]) -> Result<(), Over> {
        let edge = self.edge;
        let (settings, id) = (&edge.settings, edge.id());
        let protocol = if self.dialect == Dialect::Lmtp { "LMTP" } else { "ESMTP" };
        let mut whole = format!(
            "Received: from {} ([{}])\r\n\tby {} with {protocol} id {id};\r\n\t{}\r\n",
            self.hello.as_deref().unwrap_or("unknown"),
            self.peer,
            settings.hostname,
            dsn::date(edge.clock.now())
        )
        .into_bytes();
        whole.extend_from_slice(body);
        let body: Rc<[u8]> = whole.into();
        let from = mail.from.clone().unwrap_or_default();
        // Guards orders against taking effect twice: a recipient named twice gets one flow, and both names
        // its verdict.
        let mut items: Vec<(DestinationId, Rc<Parcel>)> = Vec::new();
        let mut which = Vec::new();
        for (to, destination) in &mail.recipients {
            let same = |(_, p): &(_, Rc<Parcel>)| p.mail.as_ref().is_some_and(|m| m.to == *to);
            which.push(items.iter().position(same).unwrap_or(items.len()));
            if which.last() == Some(&items.len()) {
                let envelope = Envelope { from: from.clone(), to: to.clone() };
                let id = format!("{id}-{}", items.len());
                let parcel = Parcel { id, key: None, mail: Some(envelope), routed: None, body: body.clone() };
                items.push((*destination, Rc::new(parcel)));
            }
        }
        let count = items.len();
        let (reply, verdict) = oneshot::channel();
        let offer = Submission {
            class: settings.class.clone(),
            tenant: None,
            deadline: edge.clock.now() + settings.deadline,
            items,
            repeat: false,
            together: self.dialect == Dialect::Smtp,
            reply,
        };
        let verdicts = match edge.owner.try_send(OwnerMessage::Submission(offer)) {
            Ok(()) => verdict.await.unwrap_or_default(),
            Err(_) => vec![Verdict::Full; count],
        };
        let line = |i: usize| {
            let verdict = which.get(i).and_then(|w| verdicts.get(*w)).copied().unwrap_or(Verdict::Full);
            match verdict {
                Verdict::Accepted => format!("250 2.0.0 {id} taken on"),
                Verdict::Rejected(_) | Verdict::Ending(_) | Verdict::Failed => {
                    "451 4.3.2 not now, come again later".to_string()
                }
                Verdict::Full | Verdict::Unknown(_) => "452 4.3.1 no room".to_string(),
            }
        };
        self.answer_all(&mail, line).await
    }
}

/// How many relays a message has passed.
fn hops(body: &[u8]) -> usize {
    let header = body.split(|b| *b == b'\n').take_while(|l| *l != b"\r");
    header.filter(|l| l.len() >= 9 && l[..9].eq_ignore_ascii_case(b"received:")).count()
}
