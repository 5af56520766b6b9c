//! Commands of a mail session up to the message itself.

use super::*;

impl Session<'_> {
    pub(super) async fn command(&mut self, verb: &str, rest: &str) -> Result<(), Over> {
        let lmtp = self.dialect == Dialect::Lmtp;
        match verb {
            "EHLO" if !lmtp => self.greet(rest, true).await,
            "LHLO" if lmtp => self.greet(rest, true).await,
            "HELO" if !lmtp => self.greet(rest, false).await,
            "MAIL" => self.mail(rest).await,
            "RCPT" => self.rcpt(rest).await,
            "DATA" => self.data(rest).await,
            "RSET" => {
                self.mail = Transaction::default();
                self.say("250 2.0.0 ok").await
            }
            "NOOP" => self.say("250 2.0.0 ok").await,
            "VRFY" => self.say("252 2.5.0 send it and see").await,
            "HELP" => self.say("214 2.0.0 RFC 5321 and RFC 2033").await,
            "QUIT" => {
                self.say("221 2.0.0 bye").await?;
                Err(Over::Quit)
            }
            _ => self.fault("500 5.5.1 command not known").await,
        }
    }

    async fn greet(&mut self, name: &str, extended: bool) -> Result<(), Over> {
        if !address::is_domain(name.trim()) {
            return self.fault("501 5.5.4 that is no name of a host").await;
        }
        self.hello = Some(name.trim().to_string());
        self.mail = Transaction::default();
        let own = self.edge.settings.hostname.clone();
        if !extended {
            return self.say(&format!("250 {own}")).await;
        }
        let size = self.edge.settings.max_size;
        let extensions =
            format!("250-PIPELINING\r\n250-8BITMIME\r\n250-SIZE {size}\r\n250 ENHANCEDSTATUSCODES");
        self.say(&format!("250-{own}\r\n{extensions}")).await
    }

    async fn mail(&mut self, rest: &str) -> Result<(), Over> {
        if self.hello.is_none() {
            return self.fault("503 5.5.1 say hello first").await;
        }
        if self.mail.from.is_some() {
            return self.fault("503 5.5.1 one transaction at a time").await;
        }
        let Some((from, parameters)) = keyword(rest, "FROM:").and_then(address::path) else {
            return self.fault("501 5.1.7 that is no reverse-path").await;
        };
        for parameter in &parameters {
            let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
            match name {
                "SIZE" => match value.parse::<u64>() {
                    Ok(size) if size <= self.edge.settings.max_size as u64 => {}
                    Ok(_) => return self.fault("552 5.3.4 too large").await,
                    Err(_) => return self.fault("501 5.5.4 that is no size").await,
                },
                "BODY" if matches!(value, "7BIT" | "8BITMIME") => {}
                _ => return self.fault("555 5.5.4 parameter not known").await,
            }
        }
        self.mail.from = Some(from);
        self.say("250 2.1.0 ok").await
    }

    async fn rcpt(&mut self, rest: &str) -> Result<(), Over> {
        if self.mail.from.is_none() {
            return self.fault("503 5.5.1 MAIL comes first").await;
        }
        let settings = &self.edge.settings;
        let Some((mut to, parameters)) =
            keyword(rest, "TO:").and_then(address::path).filter(|p| !p.0.is_empty())
        else {
            return self.fault("501 5.1.3 that is no forward-path").await;
        };
        if !parameters.is_empty() {
            return self.fault("555 5.5.4 parameter not known").await;
        }
        if !to.contains('@') {
            to = format!("{to}@{}", settings.hostname);
        }
        let Some(destination) = settings.route(&to) else {
            return self.fault("550 5.1.1 nobody of that name here").await;
        };
        if self.mail.recipients.len() >= settings.max_recipients {
            return self.say("452 4.5.3 too many recipients").await;
        }
        self.mail.recipients.push((to, destination));
        self.say("250 2.1.5 ok").await
    }
}

/// What follows a keyword such as `FROM:`, in any case.
fn keyword<'a>(text: &'a str, word: &str) -> Option<&'a str> {
    let head = text.get(..word.len())?;
    head.eq_ignore_ascii_case(word).then(|| &text[word.len()..])
}
